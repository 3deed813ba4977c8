import type { CallerBackend, ForwardBackend } from '@camphorvane/caller';
import { KeyRing } from '@camphorvane/store';
import type { HostAgreement } from '../agreement/HostAgreement.ts';
import { EngineObserver } from '../placing/EngineObserver.ts';
import { ReservationRenewer } from '../placing/ReservationRenewer.ts';
import { ConcurrencyShares } from '../serving/ConcurrencyShares.ts';
import { CompletionHandler } from '../serving/CompletionHandler.ts';
import { ForwardHandler } from '../serving/ForwardHandler.ts';
import { ServiceQueues } from '../serving/ServiceQueues.ts';
import { ServiceCallHandler } from '../serving/ServiceCallHandler.ts';
import { Authenticator } from './Authenticator.ts';
import { HostBackend } from './HostBackend.ts';
import type { HostOptions } from './HostOptions.ts';
import { InFlight } from './InFlight.ts';
import { UpstreamDirectory } from './UpstreamDirectory.ts';

/** Checks whether the host accepts new requests. */
export interface HostGates {
  /** True once a drain has begun; requests on the router's native interface are refused immediately. */
  readonly isDraining: () => boolean;
  /** True once forwarded requests are refused as well. */
  readonly isClosed: () => boolean;
}

/** Components of a host. */
export interface HostParts {
  readonly agreement: HostAgreement;
  readonly keys: KeyRing;
  readonly directory: UpstreamDirectory;
  readonly keeper: ReservationRenewer;
  readonly watch: EngineObserver;
  readonly gates: ServiceQueues;
  readonly inFlight: InFlight;
  readonly backend: CallerBackend;
  readonly forwarding: ForwardBackend;
}

/**
 * Creates and wires the components of a host without starting any task.
 *
 * @param options - Settings and dependencies of the host.
 * @param admission - Checks whether the host accepts new requests.
 * @returns The components.
 */
export function assembleHost(options: HostOptions, admission: HostGates): HostParts {
  const { clock, random, identity, incarnation, metrics } = options;
  const directory = new UpstreamDirectory(options.engines, options.servers);
  const calls = new ConcurrencyShares();
  const coordination = options.agreement({ clock, random, identity, incarnation, directory, calls });
  const { config, group, rates, repeats: retryGate, crashes: crashGuard, claims, placer, slowStart } = coordination;
  const keys = new KeyRing();
  const authenticator = new Authenticator(config, keys);
  const keeper = new ReservationRenewer(clock, placer);
  const watch = new EngineObserver(clock, placer);
  const hostCount = (): number => group.members().length;
  const serviceQueues = new ServiceQueues(clock, random, directory, hostCount, calls, slowStart);
  const inFlight = new InFlight();
  const completions = new CompletionHandler({
    self: identity.host,
    clock,
    directory,
    placements: placer,
    keeper,
    watch,
    metrics,
    rates,
    retryGate: retryGate,
    crashGuard: crashGuard,
  });
  const services = new ServiceCallHandler({
    clock,
    directory,
    queues: serviceQueues,
    slowStart,
    rates,
    claims,
    retryGate: retryGate,
    crashGuard: crashGuard,
    self: { host: identity.host, incarnation },
    metrics,
  });
  const commonOptions = { clock, random, authenticator, config, directory, inFlight, metrics };
  const handlers = { completions, services };
  return {
    agreement: coordination,
    keys,
    directory,
    keeper,
    watch,
    gates: serviceQueues,
    inFlight,
    backend: new HostBackend({ ...commonOptions, ...handlers, ...admission, group, incarnation }),
    forwarding: new ForwardHandler({ ...commonOptions, ...handlers, ...admission }),
  };
}
