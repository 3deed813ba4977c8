import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type { Clock, HostId, Millis, Refusal, RequestId, ServiceId } from '@camphorvane/core';
import { notRun, outcomeUnknown } from '@camphorvane/core';
import type { RelayPeers, StreamBinding } from '@camphorvane/decisions';
import type { RelayEvent, RelayFailure, RelayLink } from '@camphorvane/peer/relay';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { ExecutionCount } from '../serving/ExecutionCount.ts';
import type { RequestRetries } from '../serving/RequestRetries.ts';
import { abortRefusal } from '../serving/abortRefusal.ts';
import type { ReachMonitor, RelayPeer } from './ReachMonitor.ts';
import { RelayProgress } from './RelayProgress.ts';

/**
 * Most ways that are tried for a request, the direct one included: where most hosts lose their links together,
 * several peers may have to be asked before they have told of it.
 */
const MAX_WAYS = 6;

/** Milliseconds by which the deadline of a peer is earlier, so that its answer arrives before this host's own. */
const ANSWER_MARGIN_MS: Millis = 10;

/** Retry-after in milliseconds where peers did not reach the upstreams either. */
const UNREACHABLE_RETRY_MS: Millis = 500;

/**
 * Refusals that another host may not give: they tell of the peer, and not of the request. Routes and keys are
 * among them: this host knows them by its configuration, and the peer's may be older.
 */
const HOST_REFUSALS: ReadonlySet<Refusal['code']> = new Set([
  'upstreams_unreachable',
  'host_draining',
  'key_state_unconfirmed',
  'unknown_service',
  'unknown_key',
]);

const log = eventLog('relay');

/** A request that may be served by way of a peer. */
export interface RelayableRequest {
  readonly id: RequestId;
  readonly req: ForwardRequest;
  readonly service: ServiceId;
  readonly deadlineAt: Millis;
  readonly ageMs: Millis;
  /** Most upstreams that may run it. */
  readonly maxAttempts: number;
  /** Whether it may run again after an upstream may have run it: a repeatable call, or a resumable stream. */
  readonly isRepeatable: boolean;
  /** Whether a response that has begun can go on after its last event. */
  readonly isResumable: boolean;
  /** Upstreams that may have run the request. */
  readonly executions: ExecutionCount;
  /** Which engines may run it. */
  readonly binding: StreamBinding;
  /** Version of the configuration by which it was accepted. */
  readonly configVersion: number;
  /** Charges its retries, and counts its arrivals. */
  readonly retries: RequestRetries;
}

/** Options of a {@link RequestRelay}. */
export interface RequestRelayOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly reach: ReachMonitor;
  readonly link: RelayLink;
  readonly peers: RelayPeers;
  readonly metrics: Metrics;
}

/** What one way to the upstreams is given of a request that others may have begun. */
export interface ServingState {
  /** The request; where a stream goes on, from after its last event. */
  readonly req: ForwardRequest;
  /** Whether the request is charged to its team already. */
  readonly isCharged: boolean;
  /** Which engines may run it, by the events that its caller has got. */
  readonly binding: StreamBinding;
}

/** Serves a request over this host's own links. */
export type DirectServing = (state: ServingState) => AsyncGenerator<ForwardEvent>;

/** How one way to the upstreams ended. */
type WayEnd =
  | { readonly type: 'ended' }
  /** The way leads nowhere; another one may be tried. */
  | { readonly type: 'lost'; readonly refusal: Refusal };

const ENDED: WayEnd = { type: 'ended' };

/**
 * Serves requests over the links of this host, or by way of a peer while this host does not reach the
 * upstreams.
 *
 * A request goes over one peer at most, which serves it over its own links only. Another way is tried only
 * while the request has certainly not run, or where it may run again.
 */
export class RequestRelay {
  private readonly options: RequestRelayOptions;

  /** @param options - Links, peers and what this host reaches. */
  constructor(options: RequestRelayOptions) {
    this.options = options;
  }

  /**
   * Serves one request.
   *
   * @param request - The request.
   * @param direct - Serves it over this host's links.
   * @param signal - Ends the request when aborted.
   * @returns Its events; the last one is `done` or `refused`.
   */
  async *serve(
    request: RelayableRequest,
    direct: DirectServing,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardEvent> {
    const { reach } = this.options;
    const progress = new RelayProgress(request.req, request.binding);
    const tried = new Set<HostId>();
    let refusal = reach.refusalFor(request.service);
    let wasDirect = false;
    let ways = 0;
    while (ways < MAX_WAYS && (ways === 0 || !signal.aborted)) {
      const isDirect: boolean = !wasDirect && reach.getRoute(request.service) === 'direct';
      const peer = isDirect ? undefined : this.choosePeer(request.service, tried);
      if (!isDirect && peer === undefined) break;
      if (ways > 0 && !this.mayGoOn(request, progress, refusal)) break;
      const state = {
        req: progress.getRest(),
        isCharged: progress.hasHead() || refusal?.execution === 'unknown',
        binding: progress.getBinding(),
      };
      const end: WayEnd =
        peer === undefined
          ? yield* this.serveDirectly(request, progress, direct(state))
          : yield* this.serveByPeer(request, progress, peer, state, signal);
      if (end.type === 'ended') return;
      refusal = end.refusal;
      wasDirect = isDirect;
      ways += 1;
      if (peer !== undefined) tried.add(peer.host);
    }
    yield { type: 'refused', refusal: refusal ?? unreachable() };
  }

  /**
   * Serves a request that a peer has passed on.
   *
   * @param service - The service.
   * @param events - The events over this host's links.
   * @returns The events; where this host does not reach the upstreams either, they say so.
   */
  async *serveForPeer(
    service: ServiceId,
    events: AsyncGenerator<ForwardEvent>,
  ): AsyncGenerator<ForwardEvent> {
    for await (const event of events) {
      const isUnreachable = event.type === 'refused' && this.isUnreachable(service, event.refusal);
      yield isUnreachable && event.refusal.execution === 'not_run'
        ? { type: 'refused', refusal: unreachable() }
        : event;
    }
  }

  /** Tells whether a request may be tried another way after one that was lost, and charges its retry. */
  private mayGoOn(
    { isRepeatable, isResumable, executions, maxAttempts, retries }: RelayableRequest,
    progress: RelayProgress,
    refusal: Refusal | undefined,
  ): boolean {
    const hasRun = progress.hasHead() || refusal?.execution === 'unknown';
    if (progress.hasHead() && !isResumable) return false;
    if (hasRun && !(isRepeatable && executions.get() < maxAttempts)) return false;
    return retries.tryRun('');
  }

  private choosePeer(service: ServiceId, tried: ReadonlySet<HostId>): RelayPeer | undefined {
    const { reach, peers, clock } = this.options;
    const untried = reach.getRelayPeers(service).filter(({ host }) => !tried.has(host));
    return peers.choose(untried, clock.now());
  }

  private async *serveDirectly(
    request: RelayableRequest,
    progress: RelayProgress,
    events: AsyncGenerator<ForwardEvent>,
  ): AsyncGenerator<ForwardEvent, WayEnd> {
    for await (const event of events) {
      if (event.type === 'refused' && this.isUnreachable(request.service, event.refusal)) {
        return { type: 'lost', refusal: event.refusal };
      }
      const place = progress.place(event);
      if (place === 'foreign') return this.answeredOtherwise(request, undefined);
      if (place === 'next') yield event;
    }
    return ENDED;
  }

  /** Tells whether a request was refused since this host did not reach the upstreams. */
  private isUnreachable(service: ServiceId, { code, execution }: Refusal): boolean {
    if (code === 'upstreams_unreachable') return true;
    const hasFailed = code === 'upstream_failed' && execution === 'not_run';
    return hasFailed && this.options.reach.isDoubtful(service);
  }

  private async *serveByPeer(
    request: RelayableRequest,
    progress: RelayProgress,
    peer: RelayPeer,
    { req, isCharged, binding }: ServingState,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardEvent, WayEnd> {
    const { clock, link, peers, metrics } = this.options;
    const { id, service, executions, retries, ageMs, deadlineAt } = request;
    const arrivals = retries.getEarlier();
    const leftMs = Math.max(1, deadlineAt - clock.now() - ANSWER_MARGIN_MS);
    const from = this.options.self;
    const context = {
      ...{ from, leftMs, ageMs, service, executions: executions.get(), isCharged },
      configVersion: request.configVersion,
      ...(request.isResumable ? { binding } : {}),
      ...(arrivals === undefined ? {} : { arrivals }),
    };
    log('relayed', { id, to: peer.host, service, executions: executions.get() });
    metrics.count('relay.sent');
    const leave = peers.enter(peer.host);
    try {
      let hasHead = false;
      const events = link.relay(peer.peerAddress, { id, call: req, context }, signal);
      for await (const event of events) {
        const end = this.endOf(event, request, peer, signal);
        if (end !== undefined) {
          if (hasHead || (event.type === 'failed' && event.dispatched)) retries.recordElsewhere();
          return end;
        }
        hasHead ||= event.type === 'head';
        if (event.type !== 'failed') {
          const place = progress.place(event);
          if (place === 'foreign') return this.answeredOtherwise(request, peer.host);
          if (place === 'next') yield event;
        }
      }
    } finally {
      leave();
    }
    return ENDED;
  }

  /** Gets how a way was lost whose answer can't follow the one that the caller has begun to get. */
  private answeredOtherwise(
    { id, executions, retries }: RelayableRequest,
    to: HostId | undefined,
  ): WayEnd {
    executions.record();
    if (to !== undefined) retries.recordElsewhere();
    this.options.metrics.count('relay.lost', { dispatched: 'yes' });
    log('relay_lost', { id, to, dispatched: true, reason: 'another answer' });
    const text = 'An upstream answered a stream that goes on with something else.';
    return { type: 'lost', refusal: outcomeUnknown('upstream_failed', text) };
  }

  /** Gets how a way over a peer was lost by an event of it; undefined for an event of the response. */
  private endOf(
    event: RelayEvent | RelayFailure,
    { id, executions }: RelayableRequest,
    { host }: RelayPeer,
    signal: AbortSignal,
  ): WayEnd | undefined {
    const { peers, clock, metrics } = this.options;
    switch (event.type) {
      case 'head':
      case 'data':
      case 'done':
        return undefined;
      case 'refused': {
        const { refusal } = event;
        if (refusal.execution !== 'not_run' || !HOST_REFUSALS.has(refusal.code)) return undefined;
        peers.avoid(host, clock.now());
        log('relay_lost', { id, to: host, dispatched: false, reason: refusal.code });
        return { type: 'lost', refusal };
      }
      case 'failed': {
        const { dispatched, message } = event;
        if (!signal.aborted) peers.avoid(host, clock.now());
        metrics.count('relay.lost', { dispatched: dispatched ? 'yes' : 'no' });
        log('relay_lost', { id, to: host, dispatched, reason: message });
        if (dispatched) executions.record();
        return { type: 'lost', refusal: lostRefusal(dispatched, signal) };
      }
      default:
        return event satisfies never;
    }
  }
}

function unreachable(): Refusal {
  const text = 'No host that was asked reaches the upstreams.';
  return notRun('upstreams_unreachable', text, UNREACHABLE_RETRY_MS);
}

/** Gets the refusal of a request whose way over a peer was lost; the peer may have sent it to an upstream. */
function lostRefusal(dispatched: boolean, signal: AbortSignal): Refusal {
  if (signal.aborted) {
    return { ...abortRefusal(signal), execution: dispatched ? 'unknown' : 'not_run' };
  }
  if (!dispatched) return unreachable();
  const text = 'The host that served the request was lost.';
  return { ...outcomeUnknown('outcome_unknown', text), cause: 'peer' };
}
