import { sha256Hex } from '@camphorvane/core';
import type { Clock } from '@camphorvane/core';
import { request } from 'undici';
import { answerText } from '../engine/answer.ts';
import type { ServiceAnswerBody } from '../service/ServiceCore.ts';
import type { DemoResult, DemoOutcome } from './DemoResults.ts';

/** Host and API key of a call. */
export interface DemoTarget {
  /** `ip:port` of a host. */
  readonly host: string;
  readonly key: string;
}

/** A completion request of the demo. */
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

const refusalOf = (text: string): DemoOutcome => {
  const { error } = JSON.parse(text) as Chunk;
  return { type: 'refused', code: error?.code ?? 'no code' };
};

const requestHeaders = (target: DemoTarget): Record<string, string> => ({
  authorization: `Bearer ${target.key}`,
  'content-type': 'application/json',
});

/** Parses the data of server-sent events. */
async function* parseEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const bytes of body) {
    buffered += decoder.decode(bytes, { stream: true });
    const blocks = buffered.split('\n\n');
    buffered = blocks.pop() ?? '';
    yield* blocks.filter((block) => block.startsWith('data: ')).map((block) => block.slice(6));
  }
}

/**
 * Sends a streamed completion and checks that the answer is complete and belongs to the request.
 *
 * @param clock - Clock that times the tokens.
 * @param target - Host and API key.
 * @param completion - The request.
 * @returns The result.
 */
export async function sendCompletion(
  clock: Clock,
  target: DemoTarget,
  completion: DemoCompletion,
): Promise<DemoResult> {
  const started = clock.now();
  const times: number[] = [];
  const texts: string[] = [];
  let endMarkers = 0;
  let failure: DemoOutcome | undefined;
  const res = await request(`http://${target.host}/v1/completions`, {
    method: 'POST',
    headers: { ...requestHeaders(target), 'x-camphorvane-class': completion.class },
    body: JSON.stringify({
      model: 'reports',
      prompt: completion.prompt,
      max_tokens: completion.maxTokens,
      stream: true,
    }),
  });
  if (res.statusCode !== 200) {
    const outcome = refusalOf(await res.body.text());
    return { kind: completion.kind, outcome, gapsMs: [], endMarkers: 0 };
  }
  for await (const data of parseEvents(res.body)) {
    if (data === '[DONE]') endMarkers += 1;
    else {
      const chunk = JSON.parse(data) as Chunk;
      if (chunk.error !== undefined) failure = refusalOf(data);
      const text = chunk.choices?.[0]?.text ?? '';
      if (text !== '') {
        times.push(clock.now());
        texts.push(text);
      }
    }
  }
  const isWhole = texts.join('') === answerText(completion.prompt, completion.maxTokens);
  const whole: DemoOutcome = isWhole
    ? { type: 'whole' }
    : { type: 'broken', message: `incomplete or wrong answer of ${texts.length} tokens` };
  return {
    kind: completion.kind,
    outcome: failure ?? whole,
    firstMs: times[0] === undefined ? undefined : times[0] - started,
    gapsMs: times.slice(1).map((time, index) => time - (times[index] ?? time)),
    endMarkers,
  };
}

/**
 * Calls the certificate service and checks that the answer belongs to the call.
 *
 * @param clock - Clock that times the answer.
 * @param target - Host and API key.
 * @param id - ID of the batch; also the Idempotency-Key of an issue.
 * @param kind - Issue, which must not be executed twice, or lookup.
 * @returns The result.
 */
export async function callCertificates(
  clock: Clock,
  target: DemoTarget,
  id: string,
  kind: 'issue' | 'lookup',
): Promise<DemoResult> {
  const started = clock.now();
  const body = JSON.stringify({ batch: id });
  const isIssue = kind === 'issue';
  const path = isIssue ? '/issue' : `/lookup/${id}`;
  const res = await request(`http://${target.host}/services/certificates${path}`, {
    method: isIssue ? 'POST' : 'GET',
    headers: { ...requestHeaders(target), ...(isIssue ? { 'idempotency-key': id } : {}) },
    body: isIssue ? body : undefined,
  });
  const text = await res.body.text();
  const label = isIssue ? 'certificate' : 'yard lookup';
  if (res.statusCode !== 200)
    return { kind: label, outcome: refusalOf(text), gapsMs: [], endMarkers: 0 };
  const answer = JSON.parse(text) as ServiceAnswerBody;
  const isOwn = answer.path === path && answer.bodyDigest === sha256Hex(isIssue ? body : '');
  const outcome: DemoOutcome = isOwn
    ? { type: 'whole' }
    : { type: 'broken', message: 'the answer belongs to another call' };
  return { kind: label, outcome, firstMs: clock.now() - started, gapsMs: [], endMarkers: 1 };
}
