import assert from 'node:assert/strict';
import type { Millis, RandomSource } from '@camphorvane/core';
import { CrashWorld } from './CrashWorld.ts';
import { StoreFleet } from './StoreFleet.ts';

/** Milliseconds after the fifth crash from which on few requests with its cause may be sent; see RULES-KEPT.md. */
export const KNOWN_MS: Millis = 3_000;

/** Most requests with the cause that may be sent later, over all hosts. */
export const MAX_LATER = 3;

/** Least share of the sound requests that must be admitted then, from twice that time on. */
export const MIN_SOUND_SHARE = 0.5;

/** Traits that crash engines, and two that sound requests share with them. */
export const [CULPRIT, SECOND, COMMON, OTHER] = ['+culprit', '+second', '+common', '+other'];

/** Shared traits of the requests of one case, by the number of the request. */
export interface Load {
  readonly bad: (n: number) => readonly string[];
  readonly sound: (n: number) => readonly string[];
  /** Milliseconds between two requests that crash engines. */
  readonly badGapMs?: Millis;
  readonly soundGapMs?: Millis;
  /** Milliseconds of sound requests before the first one that crashes an engine. */
  readonly beforeMs?: Millis;
  readonly engines?: number;
  readonly restartMs?: Millis;
  readonly durationMs?: Millis;
  readonly answerMs?: Millis;
  /** Milliseconds from the start of a run to the crash of its engine. */
  readonly crashMs?: Millis;
}

/** Something that happens to the hosts while the load goes on, in milliseconds from its start. */
export interface Disturbance {
  readonly at: Millis;
  readonly apply: (fleet: StoreFleet) => void;
}

const DURATION_MS: Millis = 25_000;

/**
 * Plays a load.
 *
 * @param hostCount - Number of hosts.
 * @param load - The requests and the engines.
 * @param disturbances - What happens to the hosts meanwhile.
 * @param random - Draws times and hosts; absent where hosts are called in turn.
 * @returns What the engines and callers saw, and the end of the load.
 */
export async function play(
  hostCount: number,
  load: Load,
  disturbances: readonly Disturbance[] = [],
  random?: RandomSource,
): Promise<{ readonly world: CrashWorld; readonly to: Millis; readonly fleet: StoreFleet }> {
  const fleet = new StoreFleet(hostCount);
  const { bad, sound, badGapMs = 400, soundGapMs = 150, beforeMs = 0 } = load;
  const { durationMs = DURATION_MS } = load;
  try {
    await fleet.settle();
    const { engines = 6, restartMs = 1_500, answerMs, crashMs } = load;
    const world = new CrashWorld(fleet, [CULPRIT, SECOND], {
      ...{ engines, restartMs, answerMs, crashMs },
    });
    const from = fleet.clock.now();
    const to = from + beforeMs + durationMs;
    const repeat = (kind: string, gapMs: Millis, traits: Load['bad'], count = 0): void => {
      if (fleet.clock.now() >= to) return;
      const host = fleet.hosts[random?.int(0, hostCount - 1) ?? (count * 7) % hostCount];
      const id = `${kind}${count}`;
      const digest = `${id}-`.padEnd(64, 'd');
      if (host !== undefined) world.send(host, { id, digest, shared: traits(count) });
      const waitMs = gapMs * (random === undefined ? 1 : 0.3 + 1.4 * random.next());
      fleet.clock.after(waitMs, () => repeat(kind, gapMs, traits, count + 1));
    };
    repeat('s', soundGapMs, sound);
    fleet.clock.after(beforeMs, () => repeat('b', badGapMs, bad));
    disturbances.forEach(({ at, apply }) => fleet.clock.after(at, () => apply(fleet)));
    await fleet.clock.advance(to - from + 1_000);
    return { world, to, fleet };
  } finally {
    fleet.end();
  }
}

/** Asserts that hosts hold back a trait which crashes engines, and serve the requests without it. */
export function checkBounds(world: CrashWorld, trait: string, to: Millis): void {
  const crashes = world.crashes.get(trait) ?? [];
  const late = world.countLate(trait, KNOWN_MS);
  assert.ok(late <= MAX_LATER, `${late} later, ${crashes.length} crashes`);
  const known = crashes[4] ?? crashes.at(-1) ?? 0;
  const share = world.soundShare(known + 2 * KNOWN_MS, to);
  assert.ok(share >= MIN_SOUND_SHARE, `${share} of the sound ones sent, ${crashes.length} crashes`);
}
