import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { SystemClock, VirtualClock } from '@camphorvane/core';
import { Metrics } from '@camphorvane/router';
import { HostBuffers } from '../../src/buffers/HostBuffers.ts';
import { pause, SIGNED, SocketFleet, within } from '../support/SocketFleet.ts';

const MB = 1024 * 1024;
const BODY = Buffer.alloc(100_000);
const BIG = Buffer.alloc(8 * MB);

let fleet: SocketFleet;

before(async () => {
  fleet = await SocketFleet.start({
    memoryMb: 64,
    idleTimeoutMs: 500,
    upstream: (req, res) => {
      req.resume().once('end', () => {
        const way = (req.url ?? '').split('/').at(-1);
        const head = way === 'stream' ? { 'content-type': 'text/event-stream' } : {};
        if (way === 'silent') return;
        if (way === 'unsigned') res.writeHead(200).end(BIG);
        else res.writeHead(way === 'error' ? 500 : 200, { ...SIGNED, ...head });
        if (way === 'crash') res.write(BODY, () => res.destroy());
        else if (way === 'big' || way === 'error') res.end(BIG);
        else if (way === 'stream') res.write('id: 0\ndata: x\n\n');
        else if (way !== 'unsigned') res.end('answer');
      });
    },
  });
});
after(() => fleet.stop());

// Each name is a way in which a request can end. Guards against bytes that stay reserved after it, until the
// host refuses everything.
const WAYS: Readonly<Record<string, () => Promise<unknown>>> = {
  'with a whole answer': () => fleet.call('/safe/ok', BODY).closed,
  'with a large answer that is read': () => fleet.call('/safe/big', BODY).closed,
  'with errors of all servers': () => fleet.call('/safe/error', BODY).closed,
  'with an answer that is not accepted': () => fleet.call('/once/unsigned', BODY).closed,
  'with a server that crashes halfway': () => fleet.call('/safe/crash', BODY).closed,
  'by its deadline': () =>
    fleet.send(
      '/once/silent',
      [`content-length: 4`, 'x-camphorvane-deadline-ms: 200'],
      Buffer.from('body'),
      0,
    ).closed,
  'by a caller that leaves while it waits': () => leaveAfter('/safe/silent', BODY, 100),
  'by a caller that leaves within its answer': () => leaveAfter('/once/big', BODY, 100),
  'by a caller that leaves within its body': () => leaveAfter('/safe/ok', BODY.subarray(9), 100),
  'by a caller that reads nothing': async () => {
    fleet.call('/safe/big', BODY, Infinity);
    await pause(900);
  },
  'by a caller that leaves within a stream': () => leaveAfter('/llm/stream', BODY, 100),
  'without a route': () => fleet.call('/unknown', BODY).closed,
  'with a body above the declared length': () =>
    leaveAfter('/safe/ok', Buffer.concat([BODY, BODY]), 300),
};

async function leaveAfter(path: string, body: Uint8Array, ms: number): Promise<void> {
  const { socket } = fleet.send(path, [`content-length: ${BODY.length}`], body, Infinity);
  await pause(ms);
  socket.destroy();
}

Object.entries(WAYS).forEach(([name, end]) => {
  test(`a request that ends ${name} returns its bytes`, async () => {
    await within(end(), 3_000);
    assert.equal(await fleet.waitUntilEmpty(), 0, JSON.stringify(fleet.buffers.dump()));
  });
});

// Guards against a bound of the memory that holds only where the operators have switched something on.
test('while the switch is off, what the host holds is bounded, and what upstreams hold is not', () => {
  const off = new HostBuffers(new SystemClock(), new Metrics(), 1);
  const owner = { owner: 'c', request: 'r' };
  assert.equal(off.tryReserve('request', owner, 900 * MB), undefined);
  assert.equal(off.tryReserve('response', owner, 900 * MB), undefined);
  assert.notEqual(off.tryReserve('sent', owner, 900 * MB), undefined);
  assert.deepEqual(off.dump(), { request: 0, response: 0, stream: 0, sent: 0 });
});

// Guards against callers that stop short of the end of their bodies and leave no room for others.
test('a body that arrives too slowly makes way for another, one that goes on does not', async () => {
  const clock = new VirtualClock();
  const buffers = new HostBuffers(clock, new Metrics(), 4);
  const evicted: string[] = [];
  const [slow, quick] = ['slow', 'quick'].map((request) => {
    const body = buffers.tryReserveBody({ owner: request, request }, MB / 2, () => {
      evicted.push(request);
      body?.release();
    });
    return body;
  });
  await clock.advance(900);
  assert.equal(buffers.tryReserve('request', { owner: 'o', request: 'o' }, MB / 2), undefined);
  quick?.recordProgress(8_192);
  slow?.recordProgress(1);
  await clock.advance(200);
  const other = buffers.tryReserve('request', { owner: 'o', request: 'o' }, MB / 2);
  assert.notEqual(other, undefined);
  assert.deepEqual(evicted, ['slow']);
  assert.equal(buffers.dump().request, MB);
});

// Guards against a `Retry-After` that says the same whatever the backlog is.
test('a refusal waits as long as the missing bytes take at the rate of the last releases', async () => {
  const buffers = new HostBuffers(new SystemClock(), new Metrics(), 64);
  buffers.setSwitch(() => true);
  const owner = { owner: 'c', request: 'r' };
  buffers.tryReserve('request', owner, 8 * MB)?.release();
  const held = buffers.tryReserve('request', owner, 15 * MB);
  const few = buffers.refusal(2 * MB).retryAfterMs ?? 0;
  const many = buffers.refusal(15 * MB).retryAfterMs ?? 0;
  assert.ok(few >= 200 && few < 400, `${few}`);
  assert.ok(many > 4 * few, `${many}`);
  held?.release();
  assert.equal(buffers.refusal(17 * MB).code, 'body_too_large');
});
