import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { CrashWorld } from '../support/CrashWorld.ts';
import { StoreFleet } from '../support/StoreFleet.ts';

/** Milliseconds after the fifth crash from which on few requests with its cause may be sent; see RULES-KEPT.md. */
const KNOWN_MS: Millis = 3_000;

/** Most requests with the cause that may be sent later, over all hosts. */
const MAX_LATER = 3;

/** Least share of the sound requests that must be admitted then, from twice that time on. */
const MIN_SOUND_SHARE = 0.5;

const [CULPRIT, SECOND, COMMON, OTHER] = ['+culprit', '+second', '+common', '+other'];

/** Shared traits of the requests of one case, by the number of the request. */
interface Load {
  readonly bad: (n: number) => readonly string[];
  readonly sound: (n: number) => readonly string[];
  /** Milliseconds between two requests that crash engines. */
  readonly badGapMs?: Millis;
  readonly soundGapMs?: Millis;
  /** Milliseconds of sound requests before the first one that crashes an engine. */
  readonly beforeMs?: Millis;
  readonly engines?: number;
  readonly restartMs?: Millis;
}

interface Disturbance {
  readonly at: Millis;
  readonly apply: (fleet: StoreFleet) => void;
}

const DURATION_MS: Millis = 25_000;

/** Plays a load; hosts are called in turn. */
async function play(
  hostCount: number,
  load: Load,
  disturbance?: Disturbance,
): Promise<{ readonly world: CrashWorld; readonly from: Millis; readonly to: Millis }> {
  const fleet = new StoreFleet(hostCount);
  const { bad, sound, badGapMs = 400, soundGapMs = 150, beforeMs = 0 } = load;
  try {
    await fleet.settle();
    const { engines = 6, restartMs = 1_500 } = load;
    const world = new CrashWorld(fleet, [CULPRIT, SECOND], { engines, restartMs });
    const from = fleet.clock.now();
    const to = from + beforeMs + DURATION_MS;
    const repeat = (kind: string, gapMs: Millis, traits: Load['bad'], count = 0): void => {
      if (fleet.clock.now() >= to) return;
      const host = fleet.hosts[(count * 7) % hostCount];
      const id = `${kind}${count}`;
      const digest = `${id}-`.padEnd(64, 'd');
      if (host !== undefined) world.send(host, { id, digest, shared: traits(count) });
      fleet.clock.after(gapMs, () => repeat(kind, gapMs, traits, count + 1));
    };
    repeat('s', soundGapMs, sound);
    fleet.clock.after(beforeMs, () => repeat('b', badGapMs, bad));
    if (disturbance !== undefined) {
      fleet.clock.after(disturbance.at, () => disturbance.apply(fleet));
    }
    await fleet.clock.advance(to - from + 1_000);
    return { world, from, to };
  } finally {
    fleet.end();
  }
}

function checkBounds(world: CrashWorld, trait: string, to: Millis, minShare: number): void {
  const crashes = world.crashes.get(trait) ?? [];
  const late = world.countLate(trait, KNOWN_MS);
  assert.ok(late <= MAX_LATER, `${late} later, ${crashes.length} crashes`);
  const known = crashes[4] ?? crashes.at(-1) ?? 0;
  const share = world.soundShare(known + 2 * KNOWN_MS, to);
  assert.ok(share >= minShare, `${share} of the sound ones admitted, ${crashes.length} crashes`);
}

const SOUND = (): readonly string[] => [COMMON, OTHER];

const LOADS: Readonly<Record<string, Load>> = {
  'in the middle': { bad: () => [COMMON, CULPRIT, OTHER], sound: SOUND },
};

// Guards against different requests that share a part of their prompts and crash one engine after the other, and
// against sound requests that are refused for the other parts, which they have in common with them.
Object.entries(LOADS).forEach(([name, load]) =>
  [3, 9].forEach((count) =>
    test(`${count} hosts keep a part that crashes engines away from them: ${name}`, async () => {
      const { world, to } = await play(count, load);
      checkBounds(world, CULPRIT, to, MIN_SOUND_SHARE);
      if (world.crashes.has(SECOND)) checkBounds(world, SECOND, to, MIN_SOUND_SHARE);
    }),
  ),
);
