import { sleep } from '@camphorvane/core';
import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import { callCertificates, complete } from './demoCalls.ts';
import type { DemoTarget } from './demoCalls.ts';
import type { DemoAnswer, DemoCounts } from './DemoCounts.ts';

/** What the load runs on. */
export interface DemoLoad {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly counts: DemoCounts;
  /** Chooses a host and a team for each request. */
  readonly target: () => DemoTarget;
  /** Ends the load early. */
  readonly stopped: AbortSignal;
}

type Send = (id: string) => Promise<DemoAnswer>;

interface Stream {
  readonly name: string;
  readonly perSecond: number;
  readonly send: Send;
}

const SECOND_MS = 1000;
const WORDS = 'batch report on primer adhesion cure time gloss film thickness and solvent ';

function prompt(id: string, tokens: number, output: number): string {
  const head = `${id} #tokens=${output} `;
  const rest = Math.max(0, tokens * 4 - head.length);
  return head + WORDS.repeat(Math.ceil(rest / WORDS.length)).slice(0, rest);
}

function streamsOf({ clock, target }: DemoLoad): readonly Stream[] {
  const completion = (kind: string, tokens: number, maxTokens: number): Send => {
    const cls = kind === 'summary' ? 'summary' : 'lookup';
    return (id) =>
      complete(clock, target(), {
        kind,
        prompt: prompt(id, tokens, maxTokens),
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

async function runStream(load: DemoLoad, stream: Stream, forMs: Millis): Promise<void> {
  const { clock, random, counts, stopped } = load;
  const until = clock.now() + forMs;
  const open: Promise<void>[] = [];
  let sent = 0;
  while (clock.now() < until && !stopped.aborted) {
    sent += 1;
    const send = stream
      .send(`${stream.name}-${sent}`)
      .catch((error: unknown): DemoAnswer => {
        const message = error instanceof Error ? error.message : 'failed';
        return { kind: stream.name, outcome: { type: 'broken', message }, gapsMs: [], ends: 0 };
      })
      .then((answer) => counts.add(answer));
    open.push(send);
    await sleep(clock, random.exponential(SECOND_MS / stream.perSecond), stopped);
  }
  await Promise.all(open);
}

/**
 * Sends a mixed load and waits until all of it has ended.
 *
 * @param load - What it runs on.
 * @param forMs - How long new requests are sent.
 */
export async function runLoad(load: DemoLoad, forMs: Millis): Promise<void> {
  await Promise.all(streamsOf(load).map((stream) => runStream(load, stream, forMs)));
}
