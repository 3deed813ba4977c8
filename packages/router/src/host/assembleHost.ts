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

/** What tells whether the host takes new work. */
export interface HostGates {
  /** True while the host drains; callers of our own interface are sent away at once. */
  readonly isDraining: () => boolean;
  /** True once calls that are passed on are refused too. */
  readonly isClosed: () => boolean;
}

/** All parts of a host. */
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
 * Makes the parts of a host and joins them; nothing runs yet.
 *
 * @param options - What the host is made of.
 * @param hostGates - Tells whether the host takes new work.
 * @returns The parts.
 */
export function assembleHost(options: HostOptions, hostGates: HostGates): HostParts {
  const { clock, random, identity, incarnation, metrics } = options;
  const directory = new UpstreamDirectory(options.engines, options.servers);
  const calls = new ConcurrencyShares();
  const agreement = options.agreement({ clock, random, identity, incarnation, directory, calls });
  const { config, group, rates, repeats, crashes, claims, placer, slowStart } = agreement;
  const keys = new KeyRing();
  const authenticator = new Authenticator(config, keys);
  const keeper = new ReservationRenewer(clock, placer);
  const watch = new EngineObserver(clock, placer);
  const hostCount = (): number => group.members().length;
  const gates = new ServiceQueues(clock, random, directory, hostCount, calls, slowStart);
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
    retryGate: repeats,
    crashGuard: crashes,
  });
  const services = new ServiceCallHandler({
    clock,
    directory,
    queues: gates,
    slowStart,
    rates,
    claims,
    retryGate: repeats,
    crashGuard: crashes,
    self: { host: identity.host, incarnation },
    metrics,
  });
  const shared = { clock, random, authenticator, config, directory, inFlight, metrics };
  const serving = { completions, services };
  return {
    agreement,
    keys,
    directory,
    keeper,
    watch,
    gates,
    inFlight,
    backend: new HostBackend({ ...shared, ...serving, ...hostGates, group, incarnation }),
    forwarding: new ForwardHandler({ ...shared, ...serving, ...hostGates }),
  };
}
