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
  readonly keeper: ReservationKeeper;
  readonly watch: EngineWatch;
  readonly gates: ServiceGates;
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
    forwarding: new Forwarding({ ...shared, ...serving, ...hostGates }),
  };
}
