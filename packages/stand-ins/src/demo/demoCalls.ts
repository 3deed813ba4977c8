import { sha256Hex } from '@camphorvane/core';
import type { Clock } from '@camphorvane/core';
import { request } from 'undici';
import { answerText } from '../engine/answer.ts';
import type { ServiceAnswerBody } from '../service/ServiceCore.ts';
import type { DemoAnswer, DemoOutcome } from './DemoCounts.ts';

/** Where and as whom a call is made. */
export interface DemoTarget {
  /** `ip:port` of a host. */
  readonly host: string;
  readonly key: string;
}

/** A completion of the demo. */
export interface DemoCompletion {
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly class: 'lookup' | 'summary';
}

interface Chunk {
  readonly choices?: readonly { readonly text?: string }[];
  readonly error?: { readonly code?: string };
}

const refused = (text: string): DemoOutcome => {
  const { error } = JSON.parse(text) as Chunk;
  return { type: 'refused', code: error?.code ?? 'no code' };
};

const headersOf = (target: DemoTarget): Record<string, string> => ({
  authorization: `Bearer ${target.key}`,
  'content-type': 'application/json',
});

/** Reads the data of server-sent events. */
async function* eventsOf(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const bytes of body) {
    rest += decoder.decode(bytes, { stream: true });
    const blocks = rest.split('\n\n');
    rest = blocks.pop() ?? '';
    yield* blocks.filter((one) => one.startsWith('data: ')).map((one) => one.slice(6));
  }
}

/**
 * Sends a streamed completion and checks that its answer is whole and its own.
 *
 * @param clock - Times the tokens.
 * @param target - Where and as whom.
 * @param work - What is asked.
 * @returns What the caller saw.
 */
export async function complete(
  clock: Clock,
  target: DemoTarget,
  work: DemoCompletion,
): Promise<DemoAnswer> {
  const started = clock.now();
  const times: number[] = [];
  const texts: string[] = [];
  let ends = 0;
  let failure: DemoOutcome | undefined;
  const res = await request(`http://${target.host}/v1/completions`, {
    method: 'POST',
    headers: { ...headersOf(target), 'x-camphorvane-class': work.class },
    body: JSON.stringify({
      model: 'reports',
      prompt: work.prompt,
      max_tokens: work.maxTokens,
      stream: true,
    }),
  });
  if (res.statusCode !== 200) {
    const outcome = refused(await res.body.text());
    return { kind: work.kind, outcome, gapsMs: [], ends: 0 };
  }
  for await (const data of eventsOf(res.body)) {
    if (data === '[DONE]') ends += 1;
    else {
      const chunk = JSON.parse(data) as Chunk;
      if (chunk.error !== undefined) failure = refused(data);
      const text = chunk.choices?.[0]?.text ?? '';
      if (text !== '') {
        times.push(clock.now());
        texts.push(text);
      }
    }
  }
  const isWhole = texts.join('') === answerText(work.prompt, work.maxTokens);
  const whole: DemoOutcome = isWhole
    ? { type: 'whole' }
    : { type: 'broken', message: `${texts.length} tokens that are not the whole answer` };
  return {
    kind: work.kind,
    outcome: failure ?? whole,
    firstMs: times[0] === undefined ? undefined : times[0] - started,
    gapsMs: times.slice(1).map((time, index) => time - (times[index] ?? time)),
    ends,
  };
}

/**
 * Calls the certificate service and checks that the answer is to this call.
 *
 * @param clock - Times the answer.
 * @param target - Where and as whom.
 * @param id - Names the batch; also the Idempotency-Key of an issue.
 * @param kind - An issue, which must not run twice, or a lookup.
 * @returns What the caller saw.
 */
export async function callCertificates(
  clock: Clock,
  target: DemoTarget,
  id: string,
  kind: 'issue' | 'lookup',
): Promise<DemoAnswer> {
  const started = clock.now();
  const body = JSON.stringify({ batch: id });
  const isIssue = kind === 'issue';
  const path = isIssue ? '/issue' : `/lookup/${id}`;
  const res = await request(`http://${target.host}/services/certificates${path}`, {
    method: isIssue ? 'POST' : 'GET',
    headers: { ...headersOf(target), ...(isIssue ? { 'idempotency-key': id } : {}) },
    body: isIssue ? body : undefined,
  });
  const text = await res.body.text();
  const name = isIssue ? 'certificate' : 'yard lookup';
  if (res.statusCode !== 200) return { kind: name, outcome: refused(text), gapsMs: [], ends: 0 };
  const answer = JSON.parse(text) as ServiceAnswerBody;
  const isOwn = answer.path === path && answer.bodyDigest === sha256Hex(isIssue ? body : '');
  const outcome: DemoOutcome = isOwn
    ? { type: 'whole' }
    : { type: 'broken', message: 'the answer is to another call' };
  return { kind: name, outcome, firstMs: clock.now() - started, gapsMs: [], ends: 1 };
}
