import type { CallerBackend, ForwardBackend } from '@camphorvane/caller';
import { KeyRing } from '@camphorvane/store';
import type { HostAgreement } from '../agreement/HostAgreement.ts';
import { EngineWatch } from '../placing/EngineWatch.ts';
import { ReservationKeeper } from '../placing/ReservationKeeper.ts';
import { CallShares } from '../serving/CallShares.ts';
import { CompletionServing } from '../serving/CompletionServing.ts';
import { Forwarding } from '../serving/Forwarding.ts';
import { ServiceGates } from '../serving/ServiceGates.ts';
import { ServiceServing } from '../serving/ServiceServing.ts';
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
  readonly keeper: ReservationKeeper;
  readonly watch: EngineWatch;
  readonly gates: ServiceGates;
  readonly inFlight: InFlight;
  readonly backend: CallerBackend;
  readonly forwarding: ForwardBackend;
}

/**
 * Creates and wires the components of a host without starting any task.
 *
 * @param options - Settings and dependencies of the host.
 * @param hostGates - Checks whether the host accepts new requests.
 * @returns The components.
 */
export function assembleHost(options: HostOptions, hostGates: HostGates): HostParts {
  const { clock, random, identity, incarnation, metrics } = options;
  const directory = new UpstreamDirectory(options.engines, options.servers);
  const calls = new CallShares();
  const agreement = options.agreement({ clock, random, identity, incarnation, directory, calls });
  const { config, group, rates, repeats, crashes, claims, placer, slowStart } = agreement;
  const keys = new KeyRing();
  const authenticator = new Authenticator(config, keys);
  const keeper = new ReservationKeeper(clock, placer);
  const watch = new EngineWatch(clock, placer);
  const hostCount = (): number => group.members().length;
  const gates = new ServiceGates(clock, random, directory, hostCount, calls, slowStart);
  const inFlight = new InFlight();
  const completions = new CompletionServing({
    self: identity.host,
    clock,
    directory,
    placements: placer,
    keeper,
    watch,
    metrics,
    rates,
    repeats,
    crashes,
  });
  const services = new ServiceServing({
    clock,
    directory,
    gates,
    slowStart,
    rates,
    claims,
    repeats,
    crashes,
    self: { host: identity.host, incarnation },
    metrics,
  });
  const commonOptions = { clock, random, authenticator, config, directory, inFlight, metrics };
  const handlers = { completions, services };
  return {
    agreement,
    keys,
    directory,
    keeper,
    watch,
    gates,
    inFlight,
    backend: new HostBackend({ ...commonOptions, ...handlers, ...hostGates, group, incarnation }),
    forwarding: new Forwarding({ ...commonOptions, ...handlers, ...hostGates }),
  };
}
