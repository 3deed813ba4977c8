import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { UpstreamError } from '@camphorvane/upstream';
import { errAsync } from 'neverthrow';
import type { ForwardFleetOptions } from '../support/ForwardFleet.ts';
import { answerEnding, failingStream, ForwardFleet } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const REJECTED: UpstreamError = { type: 'rejected', dispatched: false, message: 'full' };
const BROKEN: UpstreamError = { type: 'broken', dispatched: true, message: 'closed' };
const DOWN: UpstreamError = { type: 'unreachable', dispatched: false, message: 'refused' };
const MISDIRECTED: UpstreamError = { ...DOWN, answered: true };

interface Way {
  readonly what: string;
  readonly path: string;
  readonly fleet: ForwardFleetOptions;
  /** Upstream that nothing reaches. */
  readonly unreached?: string;
}

const RESUMABLE = { route: { resumable: true } } as const;

const WAYS: readonly Way[] = [
  { what: 'a stream that nothing happens to', path: '/llm/x', fleet: {} },
  {
    what: 'a stream that one decode engine rejects',
    ...{ path: '/llm/x', fleet: { decodeScripts: { d1: failingStream(0, REJECTED) } } },
  },
  {
    what: 'a stream whose engine closes it midway',
    ...{ path: '/llm/x', fleet: { ...RESUMABLE, decodeScripts: { d1: failingStream(2, BROKEN) } } },
  },
  {
    what: 'a stream whose engine is another one at its address',
    ...{ path: '/llm/x', fleet: { decodeScripts: { d1: failingStream(0, MISDIRECTED) } } },
  },
  {
    what: 'a stream whose engine is down',
    ...{
      path: '/llm/x',
      fleet: { decodeScripts: { d1: failingStream(0, DOWN) } },
      unreached: 'd1',
    },
  },
  {
    what: 'a call that one server rejects',
    ...{ path: '/safe/x', fleet: { callScripts: { s1: () => errAsync(REJECTED) } } },
  },
  {
    what: 'a call whose server is down',
    ...{ path: '/safe/x', fleet: { callScripts: { s1: () => errAsync(DOWN) } }, unreached: 's1' },
  },
];

function countsOf(fleet: ForwardFleet, name: string): number {
  const counts = Object.entries(fleet.metrics.getCounts()).filter(([key]) => key.startsWith(name));
  return counts.reduce((sum, [, count]) => sum + count, 0);
}

// Guards against arrivals beyond the first of a request that no budget pays.
WAYS.forEach(({ what, path, fleet: options, unreached }) =>
  test(`each arrival beyond the first is charged once for ${what}`, async () => {
    const fleet = new ForwardFleet(options);
    const endings = [answerEnding(await fleet.send(path)), answerEnding(await fleet.send(path))];
    assert.deepEqual(endings, ['done', 'done']);
    const requests = endings.length;
    const runs = [...fleet.decodes, ...fleet.calls].filter((id) => id !== unreached).length;
    const furtherPrefills = Math.max(0, fleet.prefills.length - requests);
    assert.equal(countsOf(fleet, 'retries.charged'), runs + furtherPrefills - requests);
    assert.equal(countsOf(fleet, 'retries.uncharged'), 0);
  }),
);

// Guards against a prompt that a prefill engine reads again, which is a second retry for one stream.
test('a stream that goes on elsewhere has its prompt read by the next decode engine', async () => {
  const scripts = { d1: failingStream(2, BROKEN), d2: failingStream(2, BROKEN) };
  const fleet = new ForwardFleet({
    route: { resumable: true, maxAttempts: 2 },
    decodeScripts: scripts,
  });
  await fleet.send('/llm/x');
  assert.equal(`${fleet.prefills.length} ${fleet.decodes.length}`, '1 2');
  assert.equal(countsOf(fleet, 'retries.charged'), 1);
});
