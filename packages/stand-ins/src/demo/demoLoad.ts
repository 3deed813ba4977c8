import { sleep } from '@camphorvane/core';
import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import { callCertificates, sendCompletion } from './demoCalls.ts';
import type { DemoTarget } from './demoCalls.ts';
import type { DemoResult, DemoResults } from './DemoResults.ts';

/** Dependencies of the load generator. */
export interface DemoLoad {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly counts: DemoResults;
  /** Picks a host and a team for each request. */
  readonly target: () => DemoTarget;
  /** Stops the load early. */
  readonly stopped: AbortSignal;
}

type SendRequest = (id: string) => Promise<DemoResult>;

interface RequestStream {
  readonly name: string;
  readonly perSecond: number;
  readonly send: SendRequest;
}

const SECOND_MS = 1000;
const FILLER = 'batch report on primer adhesion cure time gloss film thickness and solvent ';

function buildPrompt(id: string, tokens: number, output: number): string {
  const head = `${id} #tokens=${output} `;
  const chars = Math.max(0, tokens * 4 - head.length);
  return head + FILLER.repeat(Math.ceil(chars / FILLER.length)).slice(0, chars);
}

function streamsOf({ clock, target }: DemoLoad): readonly RequestStream[] {
  const completion = (kind: string, tokens: number, maxTokens: number): SendRequest => {
    const cls = kind === 'summary' ? 'summary' : 'lookup';
    return (id) =>
      sendCompletion(clock, target(), {
        kind,
        prompt: buildPrompt(id, tokens, maxTokens),
        maxTokens,
        class: cls,
      });
  };
  return [
    { name: 'lookup', perSecond: 5, send: completion('lookup', 150, 24) },
    { name: 'summary', perSecond: 0.8, send: completion('summary', 1000, 120) },
    {
      name: 'certificate',
      perSecond: 3,
      send: (id) => callCertificates(clock, target(), id, 'issue'),
    },
    { name: 'yard', perSecond: 3, send: (id) => callCertificates(clock, target(), id, 'lookup') },
  ];
}

async function runStream(load: DemoLoad, stream: RequestStream, forMs: Millis): Promise<void> {
  const { clock, random, counts, stopped } = load;
  const deadline = clock.now() + forMs;
  const inFlight: Promise<void>[] = [];
  let sent = 0;
  while (clock.now() < deadline && !stopped.aborted) {
    sent += 1;
    const sending = stream
      .send(`${stream.name}-${sent}`)
      .catch((error: unknown): DemoResult => {
        const message = error instanceof Error ? error.message : 'failed';
        return {
          kind: stream.name,
          outcome: { type: 'broken', message },
          gapsMs: [],
          endMarkers: 0,
        };
      })
      .then((answer) => counts.add(answer));
    inFlight.push(sending);
    await sleep(clock, random.exponential(SECOND_MS / stream.perSecond), stopped);
  }
  await Promise.all(inFlight);
}

/**
 * Sends a mixed load and waits until all requests have completed.
 *
 * @param load - Dependencies of the load generator.
 * @param forMs - Duration for which new requests are sent.
 */
export async function runLoad(load: DemoLoad, forMs: Millis): Promise<void> {
  await Promise.all(streamsOf(load).map((stream) => runStream(load, stream, forMs)));
}
