import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect, createServer as createNetServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { after, test } from 'node:test';
import {
  ReadLag,
  RequestIntake,
  notRun,
  setFaultListener,
  sleep,
  SystemClock,
} from '@camphorvane/core';
import type { Clock } from '@camphorvane/core';
import { HttpRelayLink, RelayServer } from '@camphorvane/peer/relay';
import type {
  RelayedRequest,
  RelayEvent,
  RelayFailure,
  RelayHandler,
} from '@camphorvane/peer/relay';
import { encodeFrame } from '../../src/relay/relayCodec.ts';
import { ALIVE_INTERVAL_MS } from '../../src/relay/relayProtocol.ts';

/** Bytes of a request that a peer that reads nothing can not take, and milliseconds until it ends its response. */
const LONG_BODY_BYTES = 8_000_000;
const EARLY_GAP_MS = 50;

const clock = new SystemClock();
const servers: Server[] = [];
after(() => servers.forEach((server) => server.close()));

const REQUEST: RelayedRequest = {
  id: 'r1',
  call: {
    ...{
      key: 'k',
      host: 'h.example',
      method: 'POST',
      path: '/a%2Fb?c=%20',
      headers: { 'x-a': 'ä' },
    },
    body: Buffer.from([0, 255, 10, 13]),
    work: { promptTokens: 5, maxTokens: 7, parts: [{ id: 'p', tokens: 5 }] },
    lastPosition: 3,
  },
  context: { from: 'h1', leftMs: 900, ageMs: 20, executions: 1, isCharged: true },
};

async function listen(server: Server): Promise<string> {
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function serve(handler: RelayHandler, isPeer = true, timers: Clock = clock): Promise<string> {
  const relay = new RelayServer({ clock: timers, handler, isPeer: () => isPeer });
  return listen(
    createServer((req, res) => {
      if (!relay.handle(req, res)) res.writeHead(404).end();
    }),
  );
}

// Guards against work that a late host begins for a peer whose request has no time left.
test('a host that is late refuses what has waited for longer than it has left, unread by its handler', async () => {
  const lag = new ReadLag();
  lag.getLagMs = () => REQUEST.context.leftMs;
  const relay = new RelayServer({
    ...{ clock, isPeer: () => true, intake: new RequestIntake(lag) },
    handler: () => assert.fail('began'),
  });
  const address = await listen(
    createServer((req, res) => {
      relay.handle(req, res);
    }),
  );
  const [event] = await collect(address);
  assert.equal(event?.type === 'failed' && !event.dispatched, true);
});

async function collect(
  address: string,
  signal = new AbortController().signal,
  request = REQUEST,
): Promise<readonly (RelayEvent | RelayFailure)[]> {
  const events: (RelayEvent | RelayFailure)[] = [];
  for await (const event of new HttpRelayLink(clock, '127.0.0.1').relay(address, request, signal)) {
    events.push(event);
  }
  return events;
}

// Guards against a request that is changed on its way over a peer.
test('a request and its response pass unchanged', async () => {
  const seen: RelayedRequest[] = [];
  const events: readonly RelayEvent[] = [
    { type: 'head', status: 200, headers: { 'x-b': 'c' }, endsWithConnection: true },
    { type: 'data', bytes: Buffer.from('one'), position: 4 },
    { type: 'data', bytes: Buffer.alloc(300_000, 7) },
    { type: 'done' },
  ];
  const address = await serve(async function* respond(request) {
    seen.push(request);
    yield* events;
  });
  const received = await collect(address);
  assert.deepEqual(seen, [REQUEST]);
  assert.deepEqual(received, events);
});

test('a refusal passes unchanged', async () => {
  const refusal = notRun('over_rate', 'too much', 250);
  const address = await serve(async function* respond() {
    yield { type: 'refused', refusal };
  });
  assert.deepEqual(await collect(address), [{ type: 'refused', refusal }]);
});

// Guards against a timer that each request leaves behind over which a host throws, and against a fault that goes unseen.
test('a request over which the serving host throws is broken off and reported, and leaves no timer', async () => {
  const faults: string[] = [];
  setFaultListener((place) => faults.push(place));
  let timers = 0;
  const counting: Clock = {
    now: () => clock.now(),
    wall: () => clock.wall(),
    after: (delay, run) => {
      timers += 1;
      return clock.after(delay, run);
    },
  };
  const address = await serve(
    async function* respond() {
      yield { type: 'head', status: 200, headers: {} };
      throw new Error('spoiled');
    },
    true,
    counting,
  );
  const events = await collect(address);
  setFaultListener(undefined);
  assert.equal(events.at(-1)?.type, 'failed');
  assert.deepEqual(faults, ['peer.relay']);
  const before = timers;
  await sleep(clock, 3 * ALIVE_INTERVAL_MS);
  assert.equal(timers, before);
});

// Guards against requests of strangers that are served without a check of what they claim.
test('only hosts of the fleet are served', async () => {
  let served = 0;
  const address = await serve(async function* respond() {
    served += 1;
    yield { type: 'done' };
  }, false);
  const [event] = await collect(address);
  assert.deepEqual(event, { type: 'failed', dispatched: false, message: 'the peer answered 403' });
  assert.equal(served, 0);
});

// Guards against an unknown outcome at a peer of an earlier version, which does not know the path.
test('a peer that knows no relaying has certainly not run the request', async () => {
  const address = await listen(createServer((_req, res) => res.writeHead(404).end()));
  const [event] = await collect(address);
  assert.equal(event?.type === 'failed' && event.dispatched, false);
});

test('a peer that can not be reached has certainly not run the request', async () => {
  const server = createServer();
  const address = await listen(server);
  server.close();
  const [event] = await collect(address);
  assert.equal(event?.type === 'failed' && event.dispatched, false);
});

// Guards against a response that is cut off and looks complete, and against a false "not run".
test('a peer that is lost in mid-response may have run the request', async () => {
  const address = await listen(
    createServer((req, res) => {
      req.resume();
      res.write(Buffer.from([2, 0, 0, 0, 1, 65]));
      setTimeout(() => res.destroy(), 20);
    }),
  );
  const events = await collect(address);
  assert.deepEqual(
    events.map((event) => (event.type === 'failed' ? event.dispatched : event.type)),
    ['data', true],
  );
});

/** Ends of a response that comes while the request is still being sent. */
const EARLY_ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'is reset': (socket) => socket.resetAndDestroy(),
  'ends with its connection': (socket) => socket.end(),
};

// Guards against a part of an answer that looks complete, since it came while the request was being sent.
Object.entries(EARLY_ENDS).forEach(([how, end]) =>
  test(`an early response of a peer that ${how} is not complete`, async () => {
    const head = encodeFrame({ type: 'head', status: 200, headers: {} });
    const data = encodeFrame({ type: 'data', bytes: Buffer.from('part') });
    const server = createNetServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        socket.write(Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\n\r\n'), ...head, ...data]));
        setTimeout(() => end(socket), EARLY_GAP_MS);
      });
    });
    const address = await listen(server);
    const call = { ...REQUEST.call, body: Buffer.alloc(LONG_BODY_BYTES) };
    const events = await collect(address, undefined, { ...REQUEST, call });
    assert.deepEqual(
      events.map((event) => (event.type === 'failed' ? event.dispatched : event.type)),
      ['head', 'data', true],
    );
  }),
);

// Guards against callers that get an answer whose status HTTP does not know, since their host had it from a peer.
[0, 99, 199, 600, 999].forEach((status) =>
  test(`an answer with status ${status} from a peer is none`, async () => {
    const address = await serve(async function* respond() {
      yield { type: 'head', status, headers: {} };
      yield { type: 'done' };
    });
    const events = await collect(address);
    assert.deepEqual(
      events.map(({ type }) => type),
      ['failed'],
    );
  }),
);

// Guards against a caller that waits for its deadline while the peer of its request is frozen.
test('a peer that falls silent is given up after a while, one that works is not', async () => {
  const silent = await listen(createServer((req) => req.resume()));
  const startedAt = clock.now();
  const [failure] = await collect(silent);
  assert.equal(failure?.type === 'failed' && failure.dispatched, true);
  assert.ok(clock.now() - startedAt < 3_000);
  const slow = await serve(async function* respond() {
    await sleep(clock, 2_500);
    yield { type: 'done' };
  });
  assert.deepEqual(await collect(slow), [{ type: 'done' }]);
});

// Guards against a host that is full of requests whose sender was lost before it had sent them.
test('a request that is not sent to its end is given up', async () => {
  let served = 0;
  const address = await serve(async function* respond() {
    served += 1;
    yield { type: 'done' };
  });
  const [host = '', port = ''] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.write('POST /relay HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nabc');
  const startedAt = clock.now();
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  assert.ok(clock.now() - startedAt < 3_000);
  assert.equal(served, 0);
});

// Guards against work that goes on at an upstream after the caller has left the host that it called.
test('the peer learns at once that the caller has left', async () => {
  const left = new AbortController();
  let toldAfterMs = Infinity;
  const address = await serve(async function* respond(_request, signal) {
    yield { type: 'head', status: 200, headers: {} };
    const startedAt = clock.now();
    setTimeout(() => left.abort(), 50);
    await sleep(clock, 5_000, signal);
    toldAfterMs = clock.now() - startedAt;
  });
  const events = await collect(address, left.signal);
  assert.equal(events.at(-1)?.type, 'failed');
  await sleep(clock, 100);
  assert.ok(toldAfterMs < 400, `${toldAfterMs} ms`);
});

// Guards against a peer that buffers a whole response for a caller that reads slowly.
test('a slow reader holds back the peer', async () => {
  let sent = 0;
  const address = await serve(async function* respond() {
    while (sent < 400) {
      sent += 1;
      yield { type: 'data', bytes: Buffer.alloc(65_536) };
    }
    yield { type: 'done' };
  });
  const events = new HttpRelayLink(clock, '127.0.0.1').relay(
    address,
    REQUEST,
    new AbortController().signal,
  );
  await events.next();
  await sleep(clock, 300);
  assert.ok(sent < 200, `${sent} of 400 chunks sent`);
  await events.return(undefined);
});
