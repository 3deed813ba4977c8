import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import type { WorldSend } from '../support/CrashWorld.ts';
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

const SOUND = (): readonly string[] => [COMMON, OTHER];

const IN_THE_MIDDLE: Load = { bad: () => [COMMON, CULPRIT, OTHER], sound: SOUND };

const LOADS: Readonly<Record<string, Load>> = {
  'in the middle': IN_THE_MIDDLE,
  'in front': { bad: () => [CULPRIT, COMMON], sound: SOUND },
  'in one request every 1.6 s': {
    ...{ bad: () => [COMMON, CULPRIT], sound: SOUND, badGapMs: 1_600 },
  },
  'in ten requests a second': {
    ...{ bad: () => [COMMON, CULPRIT], sound: SOUND, badGapMs: 100 },
  },
  'beside parts that all sound requests have': {
    ...{ bad: () => [COMMON, OTHER, CULPRIT], sound: SOUND, soundGapMs: 1_000 },
  },
  'beside parts that all sound requests have, long after the last of these': {
    ...{ bad: () => [COMMON, OTHER, CULPRIT], sound: SOUND, soundGapMs: 20_000, beforeMs: 19_000 },
  },
  'of two kinds in turn': {
    ...{ bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND], sound: SOUND },
  },
  'of two kinds in turn, beside a part of rare sound requests': {
    bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
    sound: () => [COMMON],
    soundGapMs: 1_300,
  },
  'of two kinds on two engines': {
    bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
    sound: SOUND,
    ...{ badGapMs: 200, engines: 2, restartMs: 600 },
  },
  'and parts of its own in each request': {
    ...{ bad: (n) => [COMMON, CULPRIT, `+own${n}`], sound: (n) => [COMMON, `+sound${n}`] },
  },
  'and one of a few parts that sound requests have': {
    bad: (n) => [COMMON, CULPRIT, `+few${n % 4}`],
    sound: (n) => [COMMON, `+few${n % 5}`],
  },
  'sometimes without the part that it came with': {
    bad: (n) => [...(n % 6 === 5 ? [] : [COMMON]), CULPRIT],
    sound: () => [COMMON],
    soundGapMs: 2_000,
  },
};

// Guards against different requests that share a part of their prompts and crash one engine after the other, and
// against sound requests that are refused for the other parts, which they have in common with them.
Object.entries(LOADS).forEach(([name, load]) =>
  [3, 9].forEach((count) =>
    test(`${count} hosts keep a part that crashes engines away from them: ${name}`, async () => {
      const { world, to } = await play(count, load);
      checkBounds(world, CULPRIT, to);
      if (world.crashes.has(SECOND)) checkBounds(world, SECOND, to);
    }),
  ),
);

const ON_TWO_ENGINES: Load = {
  bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
  sound: SOUND,
  ...{ badGapMs: 200, engines: 2, restartMs: 600, durationMs: 42_000 },
};

// Guards against culprits that hide behind a part which nobody has answered yet, since all engines crash all the time.
[3, 9].forEach((count) =>
  [1, 3, 5].forEach((seed) =>
    test(`${count} hosts keep two parts that crash both engines at random times away from them, seed ${seed}`, async () => {
      const { world, to } = await play(count, ON_TWO_ENGINES, [], new RandomSource(seed));
      checkBounds(world, CULPRIT, to);
      checkBounds(world, SECOND, to);
    }),
  ),
);

const SLOW_LOADS: Readonly<Record<string, Load>> = {
  'in ten requests a second, beside streams of 6 s': {
    ...{ bad: () => [COMMON, CULPRIT], sound: SOUND, badGapMs: 100, answerMs: 6_000 },
  },
  'of two kinds on two engines, beside streams of 6 s': {
    bad: (n) => [COMMON, n % 2 === 0 ? CULPRIT : SECOND],
    sound: SOUND,
    ...{ badGapMs: 200, engines: 2, answerMs: 6_000 },
  },
  'and one of a few parts of streams of 6 s': {
    bad: (n) => [COMMON, CULPRIT, `+few${n % 4}`],
    sound: (n) => [COMMON, `+few${n % 5}`],
    answerMs: 6_000,
  },
  'in ten requests a second, and engines that are back after 5 s': {
    ...{ bad: () => [COMMON, CULPRIT], sound: SOUND, badGapMs: 100, restartMs: 5_000 },
  },
};

// Guards against a culprit that hides behind parts of sound streams which run beside it at each crash.
Object.entries(SLOW_LOADS).forEach(([name, load]) =>
  test(`9 hosts keep a part that crashes engines away from them for 42 s: ${name}`, async () => {
    const { world, to } = await play(9, { ...load, durationMs: 42_000 }, [], new RandomSource(7));
    checkBounds(world, CULPRIT, to);
    if (world.crashes.has(SECOND)) checkBounds(world, SECOND, to);
  }),
);

const RESTARTS: readonly Disturbance[] = [3_000, 6_000, 9_000, 12_000].map((at, n) => ({
  at,
  apply: (fleet) => fleet.hosts.slice(2 * n, 2 * n + 3).forEach((host) => fleet.restart(host)),
}));

const RESTART_OF_ALL: readonly Disturbance[] = [
  { at: 9_000, apply: (fleet) => fleet.hosts.forEach((host) => fleet.restart(host)) },
];

// Guards against what hosts know that is lost with their processes.
test('hosts that restart keep a part that crashes engines away from them', async () => {
  const { world, to } = await play(9, IN_THE_MIDDLE, RESTARTS);
  checkBounds(world, CULPRIT, to);
});

test('hosts that all restart at once keep a part that crashes engines away from them', async () => {
  const { world, to } = await play(9, IN_THE_MIDDLE, RESTART_OF_ALL);
  checkBounds(world, CULPRIT, to);
});

// Guards against hosts that go on counting for themselves after they had heard nothing of each other.
test('hosts that were cut off keep a part that crashes engines away from them afterwards', async () => {
  const cutMs = 12_000;
  const isCut = (name: string): boolean => name < 'h003';
  let healedAt = Infinity;
  const cut: readonly Disturbance[] = [
    {
      at: 0,
      apply: (fleet) => {
        Object.assign(fleet.store, { isUnavailable: true });
        Object.assign(fleet, {
          passes: (from: string, to: string) => isCut(from) === isCut(to),
        });
      },
    },
    {
      at: cutMs,
      apply: (fleet) => {
        healedAt = fleet.clock.now();
        Object.assign(fleet, { passes: () => true });
      },
    },
  ];
  const { world, to } = await play(9, IN_THE_MIDDLE, cut);
  const isInTouch = ({ host, at }: WorldSend): boolean => !isCut(host) || at > healedAt + KNOWN_MS;
  assert.ok(world.countLate(CULPRIT, KNOWN_MS, isInTouch) <= MAX_LATER);
  assert.ok(world.soundShare(healedAt + KNOWN_MS, to) >= MIN_SOUND_SHARE);
});

/** Hides from hosts what those of an earlier version don't read: reports on what requests share. */
function withoutShared(bytes: Buffer): Buffer {
  const fields = JSON.parse(bytes.toString()) as unknown[];
  const index = fields[0] === 'digest' ? 21 : 18;
  const suspicion = fields[index];
  const read = Array.isArray(suspicion) ? suspicion.slice(0, 3) : suspicion;
  return Buffer.from(JSON.stringify(fields.with(index, read)));
}

// Guards against a rolling update in which the hosts of the new version know less than all of them together.
test('hosts beside others of an earlier version keep a part that crashes engines away from them', async () => {
  const isEarlier = (name: string): boolean => name < 'h003';
  const update: Disturbance = {
    at: 0,
    apply: (fleet) =>
      Object.assign(fleet, {
        rewrite: (bytes: Buffer, from: string, to: string) =>
          isEarlier(from) || isEarlier(to) ? withoutShared(bytes) : bytes,
      }),
  };
  const { world } = await play(9, IN_THE_MIDDLE, [update]);
  const isLater = ({ host }: WorldSend): boolean => !isEarlier(host);
  assert.ok(world.countLate(CULPRIT, KNOWN_MS, isLater) <= MAX_LATER);
});

// Guards against hundreds of hosts that learn too late, and against answers that only one of them has seen.
test('350 hosts keep a part that crashes engines away from them', async () => {
  const { world, to, fleet } = await play(350, { ...IN_THE_MIDDLE, badGapMs: 150, engines: 40 });
  checkBounds(world, CULPRIT, to);
  assert.ok(fleet.largestDatagram < 8_000, `${fleet.largestDatagram} bytes`);
});
