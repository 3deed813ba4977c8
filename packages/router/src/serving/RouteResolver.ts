import type { ForwardRequest, ForwardTarget, ForwardTimes } from '@camphorvane/caller';
import type {
  Clock,
  ForwardRoute,
  Millis,
  RandomSource,
  Refusal,
  RequestId,
  ServiceId,
} from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { FREE_STREAM, RequestAgeEstimator, RequestArrivals } from '@camphorvane/decisions';
import type { RelayContext } from '@camphorvane/peer/relay';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AuthenticatedCaller, Authenticator } from '../host/Authenticator.ts';
import type { ConfigSource } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import { ExecutionCount } from './ExecutionCount.ts';
import { chooseTarget, findForwardRoute, servicesOf } from './findForwardRoute.ts';
import type { RequestLog } from './RequestLog.ts';
import { ANONYMOUS_CALLER, isTakeUp, maxWaitMsOf } from './routedCall.ts';
import type { RoutedCall } from './routedCall.ts';

/** Milliseconds that a caller is assumed to wait where it does not declare a timeout. */
const DEFAULT_CALLER_TIMEOUT_MS: Millis = 30_000;

/** Retry-after in milliseconds where the host has no configuration, or the route no target. */
const UNAVAILABLE_RETRY_MS: Millis = 500;

/** Retry-after in milliseconds of a draining host; short, as the retry goes to another host. */
const DRAINING_RETRY_MS: Millis = 50;

/** Retry-after in milliseconds of a host that is late; short, as the retry goes to another host. */
const BUSY_RETRY_MS: Millis = 50;

const log = eventLog('request');

/** Options of a {@link RouteResolver}. */
export interface RouteResolverOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly authenticator: Authenticator;
  readonly config: ConfigSource;
  /** Tells whether the host refuses new requests. */
  readonly isClosed: () => boolean;
}

/** Finds the route, the caller and the service of forwarded calls, and refuses those that can't be served. */
export class RouteResolver {
  private readonly options: RouteResolverOptions;

  private readonly requests: RequestLog;

  private readonly callerAges = new RequestAgeEstimator();

  /**
   * @param options - Components of the host.
   * @param requests - Records accepted requests.
   */
  constructor(options: RouteResolverOptions, requests: RequestLog) {
    this.options = options;
    this.requests = requests;
  }

  /** Gets how long a call may take since it arrived; undefined where it has no route. */
  timesOf({ host, path, callerTimeoutMs }: ForwardTarget): ForwardTimes | undefined {
    const routes = this.options.config.current()?.config.routes ?? [];
    const route = findForwardRoute(routes, host, path);
    return route === undefined
      ? undefined
      : { timeoutMs: timeoutMsOf(route, callerTimeoutMs), maxWaitMs: maxWaitMsOf(route) };
  }

  /**
   * Resolves a call.
   *
   * @param id - Id of the request.
   * @param req - The call.
   * @param relayed - What the peer tells that passes it on; undefined where the caller sent it to this host.
   * @param waitedMs - Milliseconds that it has waited since it arrived.
   * @returns The routed call, or its refusal.
   */
  resolve(
    id: RequestId,
    req: ForwardRequest,
    relayed: RelayContext | undefined,
    waitedMs: Millis,
  ): Result<RoutedCall, Refusal> {
    const config = this.options.config.current()?.config;
    if (config === undefined) {
      const text = 'This host has no configuration yet.';
      return err(notRun('key_state_unconfirmed', text, UNAVAILABLE_RETRY_MS));
    }
    if (this.options.config.isOutdated?.() === true) {
      const text = 'This host could not get the configuration that is in force.';
      return err(notRun('key_state_unconfirmed', text, UNAVAILABLE_RETRY_MS));
    }
    if ((relayed?.configVersion ?? 0) > this.version()) {
      const text = 'This host has an older configuration than the one that passed the request on.';
      return err(notRun('key_state_unconfirmed', text, UNAVAILABLE_RETRY_MS));
    }
    if (this.options.isClosed()) {
      return err(notRun('host_draining', 'This host is leaving.', DRAINING_RETRY_MS));
    }
    const route = findForwardRoute(config.routes ?? [], req.host, req.path);
    if (route === undefined) {
      return err(notRun('unknown_service', 'No route matches this host name and path.'));
    }
    if (route.kind === 'stream' && req.isPositionUnreadable === true) {
      return err(notRun('bad_request', 'Last-Event-Id is not the position of an event.'));
    }
    const chosen = this.chooseService(route, req, relayed);
    if (chosen.isErr()) return err(chosen.error);
    const timeoutMs = timeoutMsOf(route, req.callerTimeoutMs);
    const now = this.options.clock.now();
    const deadlineAt = now - waitedMs + timeoutMs;
    if (deadlineAt <= now) {
      const text = 'The time of the request had passed before it could start.';
      return err(notRun('timed_out', text, BUSY_RETRY_MS));
    }
    return this.callerOf(route, req).map((caller) => {
      this.requests.recordAccepted(waitedMs);
      const { name, kind, targetMs, longestPauseMs } = route;
      const service = chosen.value;
      const slos = { kind, targetMs, longestPauseMs };
      const version = this.version();
      const ageMs = relayed?.ageMs ?? Math.round(this.callerAges.estimate(name, timeoutMs, now));
      const by = relayed === undefined ? {} : { relayedBy: relayed.from };
      const team = caller.team.id;
      const takesUp = req.lastPosition;
      const waited = { ageMs, waitedMs: Math.round(waitedMs) };
      log('accepted', {
        ...{ id, route: name, service, team, ...slos, ...waited, version, takesUp },
        ...by,
      });
      const executions = new ExecutionCount(relayed?.executions);
      const arrivals = new RequestArrivals(relayed?.arrivals);
      const isCharged = relayed?.isCharged ?? false;
      return {
        ...{ id, req, route, service, caller, config, deadlineAt, ageMs, waitedMs, isCharged },
        ...{ executions, arrivals },
        binding: relayed?.binding ?? FREE_STREAM,
      };
    });
  }

  /**
   * Chooses a service of a route. A request that a peer passes on goes to the one that the peer has chosen; a stream
   * that has begun goes on there or nowhere, also if this host knows other targets of the route.
   */
  private chooseService(
    route: ForwardRoute,
    req: ForwardRequest,
    relayed: RelayContext | undefined,
  ): Result<ServiceId, Refusal> {
    const { targets } = route;
    const given = relayed?.service;
    if (given !== undefined && servicesOf(targets).includes(given)) return ok(given);
    const hasBegun = relayed !== undefined && isTakeUp({ req, route });
    if (hasBegun && (given !== undefined || targets.length > 1)) return err(versionUnknown());
    const target = chooseTarget(targets, this.options.random.next());
    return target === undefined
      ? err(notRun('no_capacity', 'The route has no usable target.', UNAVAILABLE_RETRY_MS))
      : ok(target.service);
  }

  private callerOf(route: ForwardRoute, req: ForwardRequest): Result<AuthenticatedCaller, Refusal> {
    return route.open ? ok(ANONYMOUS_CALLER) : this.options.authenticator.authenticate(req.key);
  }

  private version(): number {
    return this.options.config.current()?.version ?? 0;
  }
}

function timeoutMsOf(route: ForwardRoute, callerTimeoutMs: Millis | undefined): Millis {
  return Math.min(route.timeoutMs, callerTimeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS);
}

/** Gets the refusal of a stream that can't go on, since the version that began it is not known. */
export function versionUnknown(): Refusal {
  const text = 'Which version began this stream is not known; begin it anew.';
  return notRun('stream_version_unknown', text);
}
