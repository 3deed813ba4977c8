import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { UpstreamError } from '@camphorvane/upstream';
import { errAsync } from 'neverthrow';
import type { CallScript } from '../support/ForwardFleet.ts';
import { answerEnding, failingStream, ForwardFleet } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'other side closed' };

/** Gets the number of crashes that count against the requests of a fleet. */
function countReported(fleet: ForwardFleet): number {
  return fleet.crashGuard.getReports('peers').crashes.length;
}

// Guards against blocking a request whose answers the host cannot use, while no upstream has crashed.
test('an answer that cannot be used is no crash, and an upstream that is gone is one', async () => {
  const scripted = async (error: UpstreamError): Promise<number> => {
    const script = failingStream(1, error);
    const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
    await fleet.send('/llm/x');
    return countReported(fleet);
  };
  assert.equal(await scripted(CRASHED), 1);
  assert.equal(await scripted({ ...CRASHED, answered: true }), 0);
  const silent = { type: 'silent', dispatched: true, message: 'no progress' } as const;
  assert.equal(await scripted({ ...silent, isGone: true }), 1);
  assert.equal(await scripted(silent), 0);
  const call = async (error: UpstreamError): Promise<number> => {
    const script: CallScript = () => errAsync(error);
    const fleet = new ForwardFleet({ callScripts: { s1: script, s2: script } });
    assert.equal(answerEnding(await fleet.send('/once/x')), 'outcome_unknown unknown');
    return countReported(fleet);
  };
  assert.equal(await call(CRASHED), 1);
  assert.equal(await call({ ...CRASHED, answered: true }), 0);
});
