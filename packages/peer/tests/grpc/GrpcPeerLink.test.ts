import assert from 'node:assert/strict';
import path from 'node:path';
import { test } from 'node:test';
import {
  FleetCredential,
  PEER_PROTOCOL,
  PeerTls,
  type PeerRequest,
  type PeerResponse,
  type PeerSender,
} from '@camphorvane/peer';
import { identity, startPair } from '../support/grpcPair.ts';
import { errorOf, valueOf } from '../support/results.ts';
import { BlackholeRelay } from '../support/BlackholeRelay.ts';

const WITHDRAW: PeerRequest = { type: 'withdraw', model: 'm', request: 'r1' };

const TLS_DIR = path.join(import.meta.dirname, '../support/tls');

function tls(name: string): PeerTls {
  const file = (suffix: string): string => path.join(TLS_DIR, suffix);
  const read = PeerTls.read({
    ca: file('ca.crt'),
    cert: file(`${name}.crt`),
    key: file(`${name}.key`),
    serverName: 'fleet.test',
  });
  return valueOf(read);
}

const REQUESTS: readonly PeerRequest[] = [
  WITHDRAW,
  {
    type: 'reserve',
    model: 'm',
    item: {
      request: 'r1',
      holder: 'a',
      team: 't',
      weight: 1.5,
      class: 'lookup',
      promptTokens: 12,
      maxOutputTokens: 34,
      prefixes: [{ digest: 'd', tokens: 8 }],
      maxWaitMs: 500,
      avoid: ['e1'],
    },
  },
  {
    type: 'renew',
    model: 'm',
    held: [
      {
        reservation: 'v',
        request: 'r1',
        holder: 'a',
        team: 't',
        prefill: 'p1',
        decode: 'd1',
        pieces: 3,
        prefillRunning: true,
      },
    ],
  },
  { type: 'prefill_ended', model: 'm', reservation: 'v' },
  { type: 'release', model: 'm', reservation: 'v', end: 'caller_gone' },
  {
    type: 'observe',
    model: 'm',
    observations: [{ type: 'failed', engine: 'e1', reason: 'slow' }],
  },
];

const RESPONSES: readonly PeerResponse[] = [
  { type: 'ok' },
  {
    type: 'placed',
    placement: {
      reservation: 'v',
      prefill: 'p1',
      decode: 'd1',
      pieces: 3,
      priority: -2,
      ttlMs: 900,
      expectedCachedTokens: 8,
    },
  },
  {
    type: 'refused',
    refusal: { code: 'queue_full', message: 'm', execution: 'not_run', retryAfterMs: 250 },
  },
  { type: 'renewed', lost: ['v'] },
  { type: 'not_steward', epoch: 7 },
];

test('requests, responses and the sender arrive unchanged', async () => {
  const queue = [...RESPONSES];
  const senders: PeerSender[] = [];
  const pair = await startPair({
    handler: {
      answer: (from) => {
        senders.push(from);
        return Promise.resolve(queue.shift() ?? { type: 'ok' });
      },
    },
  });
  const answers: PeerResponse[] = [];
  await REQUESTS.reduce(async (before, req) => {
    await before;
    answers.push(valueOf(await pair.link.ask(pair.to, req, 2000)));
  }, Promise.resolve());
  await pair.stop();
  assert.deepEqual(JSON.parse(JSON.stringify(pair.seen)), REQUESTS);
  assert.deepEqual(answers.slice(0, RESPONSES.length), RESPONSES);
  assert.deepEqual(senders[0], identity('a'));
});

test('a caller without a valid fleet credential is rejected', async () => {
  // A caller on the same network uses another secret, or a token issued for another host. Its calls
  // must be rejected without reaching the handler.
  const stranger = await startPair({ link: { credential: new FleetCredential('guess') } });
  const refused = await stranger.link.ask(stranger.to, WITHDRAW, 2000);
  await stranger.stop();
  assert.equal(errorOf(refused).type, 'rejected');
  assert.deepEqual(stranger.seen, []);

  const misled = await startPair();
  const other = await misled.link.ask({ ...misled.to, host: 'c' }, WITHDRAW, 2000);
  await misled.stop();
  assert.equal(errorOf(other).type, 'rejected');
  assert.deepEqual(misled.seen, []);
});

test('with mutual TLS a caller without a certificate of the fleet is rejected', async () => {
  // The credential has leaked; a caller uses it with a certificate that the fleet's CA didn't sign.
  const ours = await startPair({ server: { tls: tls('host') }, link: { tls: tls('host') } });
  const accepted = await ours.link.ask(ours.to, WITHDRAW, 2000);
  await ours.stop();
  assert.ok(accepted.isOk());

  const theirs = await startPair({ server: { tls: tls('host') }, link: { tls: tls('stranger') } });
  const refused = await theirs.link.ask(theirs.to, WITHDRAW, 2000);
  await theirs.stop();
  assert.equal(errorOf(refused).type, 'unreachable');
  assert.deepEqual(theirs.seen, []);
});

test('successive protocol versions are compatible, others are rejected by name', async () => {
  // During a rolling update old and new versions run side by side. A version two releases away could
  // misread a message, so its calls must be rejected with an error that names both versions.
  const ask = async (protocol: number): Promise<string> => {
    const self = identity('a', protocol);
    const pair = await startPair({ server: { self: identity('b', 5) }, link: { self } });
    const res = await pair.link.ask(pair.to, WITHDRAW, 2000);
    await pair.stop();
    return res.match(
      () => 'ok',
      (error) => error.message,
    );
  };
  assert.equal(await ask(4), 'ok');
  assert.equal(await ask(6), 'ok');
  assert.match(await ask(3), /protocol version 3 is incompatible with version 5/);
  assert.ok(PEER_PROTOCOL >= 1);
});

test('calls beyond the limit for one peer are rejected at once', async () => {
  // A peer stalls while requests keep arriving. Without a limit all of them would wait until their
  // timeouts.
  let open: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    open = resolve;
  });
  const pair = await startPair({
    link: { maxInFlight: 2 },
    handler: { answer: () => gate.then(() => ({ type: 'ok' })) },
  });
  const waiting = [1, 2].map(() => pair.link.ask(pair.to, WITHDRAW, 5000));
  const third = await pair.link.ask(pair.to, WITHDRAW, 5000);
  open();
  const answers = await Promise.all(waiting);
  await pair.stop();
  assert.equal(errorOf(third).type, 'rejected');
  assert.ok(answers.every((answer) => answer.isOk()));
});

test('a broken connection is replaced while the peer still answers', async () => {
  // A network device loses its state for an open connection and drops its packets, while new
  // connections work. Without the probe every call to the peer would time out until TCP gives up.
  const verdicts: string[] = [];
  let notify: () => void = () => undefined;
  const nextVerdict = (): Promise<void> =>
    new Promise((resolve) => {
      notify = resolve;
    });
  const onVerdict = (host: string, verdict: string): void => {
    verdicts.push(`${host} ${verdict}`);
    notify();
  };
  let relay: BlackholeRelay | undefined;
  const pair = await startPair({
    link: { probeTimeoutMs: 300, onVerdict },
    through: (port) => {
      relay = new BlackholeRelay(port);
      return relay.listen();
    },
  });
  assert.ok((await pair.link.ask(pair.to, WITHDRAW, 2000)).isOk());
  relay?.dropOpenConnections();
  const first = nextVerdict();
  const lost = await pair.link.ask(pair.to, WITHDRAW, 100);
  await first;
  const after = await pair.link.ask(pair.to, WITHDRAW, 2000);
  const second = nextVerdict();
  relay?.dropAllConnections();
  await pair.link.ask(pair.to, WITHDRAW, 100);
  await second;
  relay?.close();
  await pair.stop();
  assert.equal(errorOf(lost).type, 'timeout');
  assert.ok(after.isOk());
  assert.deepEqual(verdicts, ['b path_lost', 'b peer_silent']);
});

test('a call to a stopped peer fails as unreachable', async () => {
  const pair = await startPair();
  await pair.server.stop();
  const res = await pair.link.ask(pair.to, WITHDRAW, 2000);
  pair.link.close();
  assert.equal(errorOf(res).type, 'unreachable');
});
