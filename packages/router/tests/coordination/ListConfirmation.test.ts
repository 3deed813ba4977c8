import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import type { KindFollower, PlatformError, Snapshot, WatchableStore } from '@camphorvane/store';
import { StoreContact } from '@camphorvane/store';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { ListConfirmation } from '../../src/coordination/ListConfirmation.ts';

/** A list whose reads take a while, and fail while the store is away. */
class List {
  readonly clock = new VirtualClock();

  reads = 0;

  received: readonly number[] = [];

  readMs = 10;

  isAway = false;

  /** The copy that the host has. */
  known: Snapshot | undefined;

  readonly confirmation = new ListConfirmation({
    ...{ clock: this.clock, kind: 'k', contact: new StoreContact(0, 2_100) },
    store: { snapshot: () => this.snapshot() } as unknown as WatchableStore,
    follower: {
      getCopy: () => this.known,
      receiveCopy: ({ version }: Snapshot) => {
        this.received = [...this.received, version];
      },
    } as unknown as KindFollower,
  });

  private snapshot() {
    this.reads += 1;
    const version = this.reads;
    return new ResultAsync(
      new Promise<Result<Snapshot, PlatformError>>((resolve) => {
        const end = () =>
          resolve(
            this.isAway
              ? err({ type: 'unavailable', message: 'away' })
              : ok({ objects: [], version }),
          );
        this.clock.after(this.readMs, end);
      }),
    );
  }
}

// Guards against an answer by a read that began before the question, and against a read for each of many questions.
test('questions share reads, and none is answered by a read that began before it', async () => {
  const list = new List();
  const first = list.confirmation.confirm();
  await list.clock.advance(5);
  const later = [1, 2, 3].map(() => list.confirmation.confirm());
  await list.clock.advance(300);
  assert.deepEqual(await Promise.all([first, ...later]), [true, true, true, true]);
  assert.equal(list.reads, 2);
  assert.deepEqual(list.received, [1, 2]);
});

// Guards against callers that wait for a store which is silent or away.
test('a read that fails or is late confirms nothing', async () => {
  const list = new List();
  list.isAway = true;
  const failed = list.confirmation.confirm();
  await list.clock.advance(20);
  assert.equal(await failed, false);
  await list.clock.advance(300);
  list.isAway = false;
  list.readMs = 1_200;
  const late = list.confirmation.confirm();
  await list.clock.advance(500);
  assert.equal(await late, false);
  await list.clock.advance(1_500);
  list.readMs = 10;
  const again = list.confirmation.confirm();
  await list.clock.advance(20);
  assert.equal(await again, true);
});

// Guards against a store that is asked for each of many streams which are taken up at once.
test('reads are at least a quarter of a second apart, and no question waits for two', async () => {
  const list = new List();
  const answers: Promise<boolean>[] = [];
  const ask = async (left: number): Promise<void> => {
    if (left === 0) return;
    answers.push(list.confirmation.confirm());
    await list.clock.advance(10);
    await ask(left - 1);
  };
  await ask(100);
  await list.clock.advance(400);
  assert.ok((await Promise.all(answers)).every((isConfirmed) => isConfirmed));
  assert.ok(list.reads <= 5, `${list.reads} reads`);
});

// Guards against a watch that is cut off by each read of a list which has not changed.
test('a list that has not changed is not received', async () => {
  const list = new List();
  list.known = { objects: [], version: 0 };
  const confirmed = list.confirmation.confirm();
  await list.clock.advance(20);
  assert.equal(await confirmed, true);
  assert.deepEqual(list.received, []);
});
