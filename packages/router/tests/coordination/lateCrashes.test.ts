import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import {
  checkBounds,
  COMMON,
  CULPRIT,
  KNOWN_MS,
  MAX_LATER,
  MIN_SOUND_SHARE,
  OTHER,
  play,
  SECOND,
} from '../support/playCrashes.ts';
import type { Disturbance, Load } from '../support/playCrashes.ts';

/** Streams whose engine crashes seconds after they began, for longer than trials are spaced. */
const LATE: Load = {
  bad: () => [COMMON, CULPRIT],
  sound: () => [COMMON, OTHER],
  ...{ engines: 2, crashMs: 3_500, durationMs: 60_000 },
};

const LATE_LOADS: Readonly<Record<string, Load>> = {
  'one part': LATE,
  'two parts in turn': { ...LATE, bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND] },
  'two parts, one of them rare': { ...LATE, bad: (n) => [COMMON, n % 4 > 0 ? CULPRIT : SECOND] },
  'two parts in turn, on six engines': {
    ...{ ...LATE, engines: 6 },
    bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
  },
  'two parts in turn, beside streams of 6 s': {
    ...{ ...LATE, answerMs: 6_000 },
    bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
  },
};

/** All hosts end at once, each time soon after a part may be tried again. */
const LOSSES: readonly Disturbance[] = Array.from({ length: 8 }, (_, n) => ({
  at: 14_000 + n * 9_000,
  apply: (fleet) => fleet.hosts.forEach((host) => fleet.restart(host)),
}));

// Guards against parts that excuse each other while streams with both run on an engine that crashes.
Object.entries(LATE_LOADS).forEach(([name, load]) =>
  [1, 2].forEach((seed) =>
    test(`9 hosts hold back ${name} that crash engines late in a stream, seed ${seed}`, async () => {
      const { world, to } = await play(9, load, [], new RandomSource(seed));
      const known = [CULPRIT, SECOND].map((trait) => world.crashes.get(trait)?.[4] ?? Infinity);
      const later = [CULPRIT, SECOND].map((trait) => world.countLate(trait, KNOWN_MS));
      assert.ok(Math.max(...later) <= MAX_LATER, `${later.join(' and ')} later`);
      const share = world.soundShare(Math.min(...known) + 2 * KNOWN_MS, to);
      assert.ok(share >= MIN_SOUND_SHARE, `${share} of the sound ones sent`);
    }),
  ),
);

// Guards against trials that begin anew in each process.
[60, 3_500].forEach((crashMs) =>
  test(`9 hosts that all end at once again and again hold back a part that crashes engines after ${crashMs} ms`, async () => {
    const { world, to } = await play(9, { ...LATE, crashMs }, LOSSES, new RandomSource(1));
    checkBounds(world, CULPRIT, to);
  }),
);
