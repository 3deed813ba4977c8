import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GroupMember } from '../../src/index.ts';
import { MEMBERSHIP_RULES, parseGroupRecord, getCoordinator } from '../../src/index.ts';
import {
  deliverWelcome,
  identity,
  memberWith,
  recordOf,
  SETTINGS,
  welcomeOf,
} from '../support/members.ts';

const T = SETTINGS.actForMs;
const W = MEMBERSHIP_RULES.takeoverWait(SETTINGS);

/** Finds a key whose coordinator is `from` among the members before and `to` among those after. */
function keyMoving(
  from: string,
  before: readonly string[],
  to: string,
  after: readonly string[],
): string {
  const names = Array.from({ length: 500 }, (_, index) => `key-${index}`);
  const key = names.find(
    (name) =>
      getCoordinator(name, recordOf(1, before)) === from &&
      getCoordinator(name, recordOf(1, after)) === to,
  );
  assert.ok(key);
  return key;
}

test('a confirmation counts from when the answered hellos of a majority were sent', () => {
  // Answers can be delayed. Counted from their arrival, they would let a host act after others have
  // taken over from it.
  const member = memberWith('a', recordOf(4, ['a', 'b', 'c', 'd', 'e']), 0);
  deliverWelcome(member, welcomeOf('b', 4), 500, 2_000);
  assert.equal(member.view(2_000).actUntil, T);
  deliverWelcome(member, welcomeOf('c', 4), 400, 2_000);
  assert.equal(member.view(2_000).actUntil, 400 + T);
});

test('a vouch for an earlier epoch confirms nothing', () => {
  const member = memberWith('a', recordOf(4, ['a', 'b', 'c']), 0);
  deliverWelcome(member, welcomeOf('b', 3), 1_000, 1_001);
  deliverWelcome(member, welcomeOf('c', 3), 1_000, 1_001);
  assert.equal(member.view(1_001).actUntil, T);
});

test('a delayed record of a lower epoch is not adopted', () => {
  // A delayed message contains an old list of members. Adopting it would make a removed host a
  // coordinator again.
  const member = memberWith('a', recordOf(4, ['a', 'b', 'c']), 0);
  const message = { ...welcomeOf('b', 3), record: recordOf(3, ['a', 'b', 'x']) };
  deliverWelcome(member, message, 10, 20);
  assert.equal(member.view(20).epoch, 4);
});

test('a key moves at once when its earlier coordinator reports the new epoch', () => {
  const before = ['a', 'b', 'c'];
  const after = ['a', 'b', 'c', 'd'];
  const key = keyMoving('b', before, 'd', after);
  const member = memberWith('d', recordOf(5, after, [before]), 0);
  assert.equal(member.mayCoordinate(key, 1), false);
  deliverWelcome(member, welcomeOf('b', 5), 1, 2);
  assert.equal(member.mayCoordinate(key, 2), true);
});

test('a key of an unreachable host moves only after the takeover wait', () => {
  // The earlier coordinator has crashed, or is partitioned and still acts. Before it has stopped by
  // its own clock, a takeover would let two hosts grant the rate of one team.
  const before = ['a', 'b', 'c'];
  const after = ['a', 'b'];
  const key = keyMoving('c', before, 'a', after);
  const member = memberWith('a', recordOf(5, after, [before]), 0);
  deliverWelcome(member, welcomeOf('b', 5), 10, 12);
  assert.equal(member.view(12).takeoverAt, 12 + W);
  deliverWelcome(member, welcomeOf('b', 5), W, W + 11);
  assert.equal(member.mayCoordinate(key, W + 11), false);
  assert.equal(member.mayCoordinate(key, W + 12), true);
});

test('the next epoch waits until a majority of the previous epoch knows the current one', () => {
  // Two consecutive changes replace most members, and those of the first epoch do not learn of
  // them. They would keep vouching for each other while hosts of the third epoch take over.
  const member = memberWith('a', recordOf(2, ['a', 'd', 'e'], [['a', 'b', 'c']]), 0);
  ['d', 'e'].forEach((host) => deliverWelcome(member, welcomeOf(host, 2), 10, 12));
  member.step({ type: 'tick' }, 20);
  const outside = { ...identity('f') };
  const hello = { type: 'hello', group: 'g0', from: outside, epoch: 2, intent: 'stay' } as const;
  member.step({ type: 'asked', message: hello }, 20);
  assert.equal(writesAfterRead(member, 1_100), 0);
  deliverWelcome(member, welcomeOf('b', 2), 1_110, 1_112);
  member.step({ type: 'asked', message: hello }, 1_112);
  assert.equal(writesAfterRead(member, 1_600), 1);
});

function writesAfterRead(member: GroupMember, now: number): number {
  const reads = member.step({ type: 'tick' }, now).filter((effect) => effect.type === 'read');
  const [read] = reads;
  assert.equal(read?.type, 'read');
  if (read?.type !== 'read') return 0;
  const record = recordOf(2, ['a', 'd', 'e'], [['a', 'b', 'c']]);
  const outcome = { type: 'found', record, version: 2 } as const;
  const effects = member.step({ type: 'read', id: read.id, outcome }, now);
  return effects.filter((effect) => effect.type === 'write').length;
}

test('a host neither acts nor vouches once it leaves', () => {
  const member = memberWith('a', recordOf(4, ['a', 'b', 'c']), 0);
  assert.equal(member.view(1).mayAct, true);
  member.step({ type: 'leave' }, 1);
  assert.equal(member.view(1).mayAct, false);
  const from = identity('b');
  const hello = { type: 'hello', group: 'g0', from, epoch: 4, intent: 'stay' } as const;
  const [reply] = member.step({ type: 'asked', message: hello }, 2);
  assert.equal(reply?.type === 'reply' && reply.message.intent, 'leave');
});

test('unknown fields of a record from a newer version are dropped', () => {
  const record = recordOf(4, ['a', 'b'], [['a']]);
  const parsed = parseGroupRecord({ ...record, colour: 'blue' });
  assert.deepEqual(parsed.unwrapOr(undefined), record);
  assert.equal(parseGroupRecord({ ...record, epoch: 0 }).isErr(), true);
});
