import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type { Refusal } from '@camphorvane/core';
import { notRun, RandomSource, VirtualClock } from '@camphorvane/core';
import { FREE_STREAM, RelayPeers, RequestArrivals } from '@camphorvane/decisions';
import type { UpstreamRoute } from '@camphorvane/decisions';
import type {
  RelayContext,
  RelayedRequest,
  RelayEvent,
  RelayFailure,
} from '@camphorvane/peer/relay';
import { Metrics } from '@camphorvane/router';
import type { ReachMonitor, RelayPeer } from '../../src/reach/ReachMonitor.ts';
import { RequestRelay } from '../../src/reach/RequestRelay.ts';
import type { RetryGate } from '../../src/host/ports.ts';
import { ExecutionCount } from '../../src/serving/ExecutionCount.ts';
import { RequestRetries } from '../../src/serving/RequestRetries.ts';
import type { RelayableRequest, ServingState } from '../../src/reach/RequestRelay.ts';

const REQ: ForwardRequest = {
  ...{ key: 'k', host: 'h', method: 'POST', path: '/x', headers: {}, body: Buffer.from('b') },
  callerTimeoutMs: 1_000,
  work: { promptTokens: 1, maxTokens: 1, parts: [] },
};

const UNREACHABLE = notRun('upstreams_unreachable', 'this host reaches no upstream');
const LOST: RelayFailure = { type: 'failed', dispatched: true, message: 'lost' };
const DOWN: RelayFailure = { type: 'failed', dispatched: false, message: 'down' };
const WHOLE: readonly RelayEvent[] = [
  { type: 'head', status: 200, headers: {} },
  { type: 'data', bytes: Buffer.from('ok') },
  { type: 'done' },
];

const refused = (refusal: Refusal): RelayEvent => ({ type: 'refused', refusal });

const event = (position: number): RelayEvent => ({
  ...{ type: 'data', bytes: Buffer.from(`${position};`), position },
});

interface World {
  readonly routes: readonly UpstreamRoute[];
  /** What the direct way yields, one list for each time that it is tried. */
  readonly direct?: readonly (readonly ForwardEvent[])[];
  /** What peers yield, one list for each request that is passed on. */
  readonly peers?: readonly (readonly (RelayEvent | RelayFailure)[])[];
  readonly peerCount?: number;
  readonly isDoubtful?: boolean;
  readonly isBudgetSpent?: boolean;
  /** Whether upstreams have rejected what the direct way yields. */
  readonly hasRejections?: boolean;
  readonly request?: Partial<RelayableRequest>;
}

interface Outcome {
  readonly events: readonly ForwardEvent[];
  readonly directStates: readonly ServingState[];
  readonly relayed: readonly { readonly to: string; readonly request: RelayedRequest }[];
  readonly retries: number;
}

/** Tells whether an event shows that the request has arrived at an upstream. */
function hasArrived(one: ForwardEvent): boolean {
  return one.type === 'head' || (one.type === 'refused' && one.refusal.execution === 'unknown');
}

async function serve(world: World): Promise<Outcome> {
  const routes = [...world.routes];
  const peers = Array.from({ length: world.peerCount ?? 3 }, (_, i): RelayPeer => ({
    ...{ host: `p${i}`, zone: 'a', peerAddress: `p${i}:1` },
  }));
  const reach = {
    getRoute: () => (routes.length > 1 ? routes.shift() : routes[0]),
    getRelayPeers: () => peers,
    refusalFor: () => (routes[0] === 'direct' ? undefined : UNREACHABLE),
    isDoubtful: () => world.isDoubtful ?? false,
  } as unknown as ReachMonitor;
  const relayed: { to: string; request: RelayedRequest }[] = [];
  const directStates: ServingState[] = [];
  const relay = new RequestRelay({
    ...{ self: 'h', clock: new VirtualClock(), reach, metrics: new Metrics() },
    peers: new RelayPeers('a', new RandomSource(1)),
    link: {
      async *relay(to, request) {
        relayed.push({ to, request });
        yield* world.peers?.[relayed.length - 1] ?? WHOLE;
      },
    },
  });
  let retries = 0;
  const clock = new VirtualClock();
  const arrivals = new RequestArrivals();
  const retryGate: RetryGate = {
    recordAttempt: () => undefined,
    recordUncharged: () => undefined,
    tryPrefill: () => true,
    tryRetry: () => {
      if (world.isBudgetSpent === true) return false;
      retries += 1;
      return true;
    },
  };
  const request: RelayableRequest = {
    ...{ id: 'r', req: REQ, service: 's', deadlineAt: 1_000, ageMs: 5, maxAttempts: 2 },
    ...{ isRepeatable: false, isResumable: false, executions: new ExecutionCount() },
    binding: FREE_STREAM,
    configVersion: 1,
    retries: new RequestRetries({ retryGate, clock }, { team: 't', service: 's' }, arrivals),
    ...world.request,
  };
  const events: ForwardEvent[] = [];
  const direct = async function* direct(state: ServingState): AsyncGenerator<ForwardEvent> {
    directStates.push(state);
    const given = world.direct?.[directStates.length - 1] ?? WHOLE;
    if (world.hasRejections === true || given.some(hasArrived)) arrivals.recordRun();
    yield* given;
  };
  for await (const one of relay.serve(request, direct, new AbortController().signal)) {
    events.push(one);
  }
  return { events, directStates, relayed, retries };
}

function ending({ events }: Outcome): string {
  const last = events.at(-1);
  if (last?.type !== 'refused') return last?.type ?? 'nothing';
  return `${last.refusal.code} ${last.refusal.execution}`;
}

function text({ events }: Outcome): string {
  return events
    .flatMap((one) => (one.type === 'data' ? [Buffer.from(one.bytes).toString()] : []))
    .join('');
}

test('a request of a host that reaches its upstreams goes over no peer', async () => {
  const outcome = await serve({ routes: ['direct'] });
  assert.equal(ending(outcome), 'done');
  assert.equal(outcome.relayed.length, 0);
});

// Guards against hosts that refuse what a peer could serve.
test('a request of a host that is cut off goes over a peer', async () => {
  const outcome = await serve({ routes: ['relayed'] });
  assert.equal(text(outcome), 'ok');
  assert.equal(outcome.directStates.length, 0);
  const expected: RelayContext = {
    ...{
      from: 'h',
      leftMs: 990,
      ageMs: 5,
      service: 's',
      executions: 0,
      isCharged: false,
      configVersion: 1,
    },
  };
  assert.deepEqual(outcome.relayed[0]?.request, { id: 'r', call: REQ, context: expected });
});

// Guards against the first requests of a cut, which are refused before the host knows that it is cut off.
test('a request that could not be sent goes on over a peer', async () => {
  const early = await serve({ routes: ['direct', 'relayed'], direct: [[refused(UNREACHABLE)]] });
  assert.equal(ending(early), 'done');
  const failed = refused(notRun('upstream_failed', 'no server accepted the call'));
  const doubtful = await serve({ routes: ['direct'], direct: [[failed]], isDoubtful: true });
  assert.equal(ending(doubtful), 'done');
  assert.equal(doubtful.relayed.length, 1);
  const certain = await serve({ routes: ['direct'], direct: [[failed]] });
  assert.equal(ending(certain), 'upstream_failed not_run');
});

// Guards against a second run of a call that must not repeat.
test('a call that must not repeat goes over no second way once it may have run', async () => {
  const unknown = { ...UNREACHABLE, execution: 'unknown' as const };
  const sent = await serve({ routes: ['direct', 'relayed'], direct: [[refused(unknown)]] });
  assert.equal(ending(sent), 'upstreams_unreachable unknown');
  assert.equal(sent.relayed.length, 0);
  const lost = await serve({ routes: ['relayed'], peers: [[LOST]] });
  assert.equal(ending(lost), 'outcome_unknown unknown');
  const last = lost.events.at(-1);
  assert.equal(last?.type === 'refused' ? last.refusal.cause : undefined, 'peer');
  assert.equal(lost.relayed.length, 1);
});

test('a request goes to another peer while it has certainly not run', async () => {
  const draining = refused(notRun('host_draining', 'leaving'));
  const outcome = await serve({ routes: ['relayed'], peers: [[DOWN], [draining], WHOLE] });
  assert.equal(ending(outcome), 'done');
  assert.equal(new Set(outcome.relayed.map(({ to }) => to)).size, 3);
  assert.equal(outcome.retries, 0);
});

// Guards against more runs than the route allows, and repeats that no budget pays for, over several hosts.
test('a repeatable request counts its runs and its repeats over all hosts', async () => {
  const request = { isRepeatable: true };
  const once = await serve({ routes: ['relayed'], peers: [[LOST], WHOLE], request });
  assert.equal(ending(once), 'done');
  assert.equal(once.retries, 1);
  assert.deepEqual(
    once.relayed.map(({ request: { context } }) => [context.executions, context.isCharged]),
    [
      [0, false],
      [1, true],
    ],
  );
  const twice = await serve({ routes: ['relayed'], peers: [[LOST], [LOST], WHOLE], request });
  assert.equal(ending(twice), 'outcome_unknown unknown');
  assert.equal(twice.relayed.length, 2);
  const unpaid = await serve({
    ...{ routes: ['relayed'], peers: [[LOST], WHOLE] },
    ...{ isBudgetSpent: true, request: { isRepeatable: true } },
  });
  assert.equal(ending(unpaid), 'outcome_unknown unknown');
});

// Guards against repeats that no budget pays, since a peer takes a request which an engine has rejected for a new one.
test('a request that an upstream has rejected is charged before it goes on over a peer', async () => {
  const failed = refused(notRun('upstream_failed', 'no server accepted the call'));
  const world = { routes: ['direct'], direct: [[failed]], isDoubtful: true } as const;
  const paid = await serve({ ...world, hasRejections: true });
  assert.equal(ending(paid), 'done');
  assert.equal(paid.retries, 1);
  assert.deepEqual(paid.relayed[0]?.request.context.arrivals, { count: 1, isPromptRead: false });
  const spent = await serve({ ...world, hasRejections: true, isBudgetSpent: true });
  assert.equal(ending(spent), 'upstream_failed not_run');
  assert.equal(spent.relayed.length, 0);
  const unsent = await serve(world);
  assert.equal(`${ending(unsent)} ${unsent.retries}`, 'done 0');
});

// Guards against lost and repeated events where a stream goes on by way of a peer.
test('a resumable stream goes on over a peer after its last event, under its first head', async () => {
  const head: ForwardEvent = { type: 'head', status: 200, headers: { stamp: 'first' } };
  const unknown = { ...UNREACHABLE, execution: 'unknown' as const };
  const outcome = await serve({
    routes: ['direct', 'relayed'],
    direct: [[head, event(0), event(1), refused(unknown)]],
    peers: [[{ type: 'head', status: 200, headers: {} }, event(2), { type: 'done' }]],
    request: { isRepeatable: true, isResumable: true },
  });
  assert.equal(text(outcome), '0;1;2;');
  assert.deepEqual(
    outcome.events.filter(({ type }) => type === 'head'),
    [head],
  );
  assert.equal(outcome.relayed[0]?.request.call.lastPosition, 1);
});

// Guards against a response of which a caller gets the beginning twice.
test('a call whose response has begun goes over no second way', async () => {
  const begun = WHOLE.slice(0, 2);
  const request = { isRepeatable: true };
  const outcome = await serve({ routes: ['relayed'], peers: [[...begun, LOST]], request });
  assert.equal(ending(outcome), 'outcome_unknown unknown');
  assert.equal(outcome.relayed.length, 1);
});

// Guards against two runs in one answer, where a peer with another program says of one that has begun that it has not run.
test('a response that has begun has run, whatever its peer says', async () => {
  const head: ForwardEvent = { type: 'head', status: 200, headers: {} };
  const begun = [head, event(0), refused(UNREACHABLE)];
  const rest = [head, event(0), event(1), { type: 'done' }] as const;
  const once = await serve({ routes: ['relayed'], peers: [begun, rest] });
  assert.equal(`${text(once)} ${once.relayed.length}`, '0; 1');
  const request = { isRepeatable: true, isResumable: true };
  const resumed = await serve({ routes: ['relayed'], peers: [begun, rest], request });
  assert.equal(`${text(resumed)} ${ending(resumed)} ${resumed.retries}`, '0;1; done 1');
  assert.equal(resumed.relayed[1]?.request.context.isCharged, true);
});

// Guards against requests that circle among hosts, or storm the last one, while upstreams are down.
test('a request is refused at once where no peer reaches the upstreams', async () => {
  const nobody = await serve({ routes: ['none'], peerCount: 0 });
  assert.equal(ending(nobody), 'upstreams_unreachable not_run');
  const asked = Array.from({ length: 20 }, () => [refused(UNREACHABLE)]);
  const all = await serve({ routes: ['relayed'], peers: asked, peerCount: 20 });
  assert.equal(ending(all), 'upstreams_unreachable not_run');
  assert.equal(all.relayed.length, 6);
});

// Guards against a refusal of the request itself that is asked for again at each peer.
test('a refusal that tells of the request is passed on as it is', async () => {
  const overRate = refused(notRun('over_rate', 'too much', 70));
  const outcome = await serve({ routes: ['relayed'], peers: [[overRate], WHOLE] });
  assert.deepEqual(outcome.events, [overRate]);
});

// Guards against a new route, or a new key, that a peer with an older configuration does not know yet.
test('a request that a peer does not know goes to another one', async () => {
  const unknown = refused(notRun('unknown_service', 'no route'));
  const outcome = await serve({ routes: ['relayed'], peers: [[unknown], WHOLE] });
  assert.equal(ending(outcome), 'done');
  const nowhere = await serve({ routes: ['relayed'], peers: [[unknown], [unknown], [unknown]] });
  assert.equal(ending(nowhere), 'unknown_service not_run');
});

// Guards against requests that go on over peers after the links are back.
test('a request that a peer did not serve is served directly once the links are back', async () => {
  const outcome = await serve({ routes: ['relayed', 'direct'], peers: [[DOWN]] });
  assert.equal(ending(outcome), 'done');
  assert.equal(outcome.directStates.length, 1);
});

const STREAM: RelayEvent = {
  ...{ type: 'head', status: 200, headers: { 'content-type': 'text/event-stream' } },
};
const BEGUN: readonly (RelayEvent | RelayFailure)[] = [STREAM, event(0), event(1), LOST];

/** A resumable stream that loses its first peer, and meets an answer of another kind at the second. */
const meeting = (head: Partial<Extract<RelayEvent, { readonly type: 'head' }>>): World => ({
  ...{ routes: ['relayed'], request: { isRepeatable: true, isResumable: true } },
  peers: [BEGUN, [{ ...STREAM, ...head }, ...WHOLE.slice(1)], [STREAM, event(2), { type: 'done' }]],
});

// Guards against the body of another answer behind the events of a stream, ended as complete.
[{ status: 500 }, { headers: { 'content-type': 'application/json' } }].forEach((head) => {
  test(`a stream that meets another answer at a peer, ${JSON.stringify(head)}, breaks off`, async () => {
    const outcome = await serve(meeting(head));
    assert.equal(text(outcome), '0;1;');
    assert.equal(ending(outcome), 'upstream_failed unknown');
  });

  test(`a stream that meets another answer at a peer goes on at a further one, ${JSON.stringify(head)}`, async () => {
    const world = meeting(head);
    const outcome = await serve({ ...world, request: { ...world.request, maxAttempts: 3 } });
    assert.equal(text(outcome), '0;1;2;');
    assert.equal(ending(outcome), 'done');
    assert.equal(outcome.relayed.length, 3);
  });
});

/** A resumable stream that loses its first peer after two events; `second` is what the next peer sends then. */
const resumed = (...second: readonly RelayEvent[]): World => ({
  ...{ routes: ['relayed'], request: { isRepeatable: true, isResumable: true, maxAttempts: 3 } },
  peers: [BEGUN, [...second, { type: 'done' }], [STREAM, event(2), { type: 'done' }]],
});

// Guards against events that come twice, or are missing, where a stream goes on by way of another peer.
test('a stream that goes on over another peer goes on with its next event', async () => {
  const again = await serve(resumed(STREAM, event(0), event(1), event(2)));
  assert.equal(text(again), '0;1;2;');
  assert.equal(again.relayed.length, 2);
  const gap = await serve(resumed(STREAM, event(3)));
  assert.equal(text(gap), '0;1;2;');
  assert.equal(gap.relayed.length, 3);
});

// Guards against two whole answers of two upstreams that are joined to one.
test('an answer that is no stream is not continued by that of another peer', async () => {
  const head: RelayEvent = { type: 'head', status: 200, headers: {} };
  const data = (body: string): RelayEvent => ({ type: 'data', bytes: Buffer.from(body) });
  const outcome = await serve({
    ...{ routes: ['relayed'], request: { isRepeatable: true, isResumable: true } },
    peers: [
      [head, data('{"a":'), LOST],
      [head, data('{"b":2}'), { type: 'done' }],
    ],
  });
  assert.equal(text(outcome), '{"a":');
  assert.notEqual(ending(outcome), 'done');
});

// Guards against events that come twice where a peer is lost before the first event that has an id.
test('events without an id that came before a peer was lost do not come again', async () => {
  const preamble: RelayEvent = { type: 'data', bytes: Buffer.from('retry;') };
  const outcome = await serve({
    ...{ routes: ['relayed'], request: { isRepeatable: true, isResumable: true } },
    peers: [
      [STREAM, preamble, LOST],
      [STREAM, preamble, event(0), { type: 'done' }],
    ],
  });
  assert.match(`${text(outcome)} ${ending(outcome)}`, /^retry;(0; done| .*unknown)$/);
});

// Guards against events that come twice where ids increase by more than one, and the request tells no position.
test('a stream whose ids have gaps repeats no event over another peer', async () => {
  const begun = [STREAM, event(0), event(10)];
  const outcome = await serve({
    ...{ routes: ['relayed'] },
    request: { isRepeatable: true, isResumable: true, req: { ...REQ, work: undefined } },
    peers: [
      [...begun, LOST],
      [...begun, event(20), { type: 'done' }],
    ],
  });
  assert.match(`${text(outcome)} ${ending(outcome)}`, /^0;10;(20; done| .*unknown)$/);
});
