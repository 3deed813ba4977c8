import type { CallerBackend } from '@camphorvane/caller';
import { RelayPeers, UpstreamSpeeds } from '@camphorvane/decisions';
import { KeyRing } from '@camphorvane/store';
import type { HostCoordination } from '../coordination/HostCoordination.ts';
import { EngineObserver } from '../placing/EngineObserver.ts';
import { ReservationRenewer } from '../placing/ReservationRenewer.ts';
import { WaitingPlacer } from '../placing/WaitingPlacer.ts';
import { ReachMonitor } from '../reach/ReachMonitor.ts';
import { RequestRelay } from '../reach/RequestRelay.ts';
import { ConcurrencyShares } from '../serving/ConcurrencyShares.ts';
import { CompletionHandler } from '../serving/CompletionHandler.ts';
import { FairQueues } from '../serving/FairQueues.ts';
import { ForwardHandler } from '../serving/ForwardHandler.ts';
import { ServiceQueues } from '../serving/ServiceQueues.ts';
import { StreamRelocator } from '../serving/StreamRelocator.ts';
import { StreamVersions } from '../serving/StreamVersions.ts';
import { ServiceCallHandler } from '../serving/ServiceCallHandler.ts';
import { TurnRegistry } from '../serving/TurnRegistry.ts';
import { Authenticator } from './Authenticator.ts';
import { HostBackend } from './HostBackend.ts';
import type { HostOptions } from './HostOptions.ts';
import { InFlightRequests } from './InFlightRequests.ts';
import { UpstreamDirectory } from './UpstreamDirectory.ts';

/** Checks whether the host accepts new requests. */
export interface HostAdmission {
  /** True once a drain has begun; requests on the router's native interface are refused immediately. */
  readonly isDraining: () => boolean;
  /** True once forwarded requests are refused as well. */
  readonly isClosed: () => boolean;
}

/** Components of a host. */
export interface HostComponents {
  readonly coordination: HostCoordination;
  readonly keys: KeyRing;
  readonly directory: UpstreamDirectory;
  readonly renewer: ReservationRenewer;
  readonly observer: EngineObserver;
  readonly serviceQueues: ServiceQueues;
  readonly fairQueues: FairQueues;
  readonly inFlight: InFlightRequests;
  readonly backend: CallerBackend;
  readonly reach: ReachMonitor;
  readonly versions: StreamVersions;
  readonly forwarding: ForwardHandler;
}

/**
 * Creates and wires the components of a host without starting any task.
 *
 * @param options - Settings and dependencies of the host.
 * @param admission - Checks whether the host accepts new requests.
 * @returns The components.
 */
export function assembleHost(options: HostOptions, admission: HostAdmission): HostComponents {
  const { clock, random, identity, incarnation, metrics } = options;
  const directory = new UpstreamDirectory(options.engines, options.servers);
  const concurrencyShares = new ConcurrencyShares();
  const fairQueues = new FairQueues(clock, directory, metrics);
  const turns = new TurnRegistry({ clock, directory, metrics });
  const speeds = new UpstreamSpeeds(() => directory.getOverloadPolicy().completionTimes, random);
  const reach = new ReachMonitor({ clock, directory, metrics, probe: options.probe });
  const coordination = options.coordination({
    clock,
    random,
    identity,
    incarnation,
    directory,
    concurrencyShares,
    fairQueues,
    speeds,
    metrics,
    turns,
    reach,
  });
  const { config, group, rates, retryGate, crashGuard, claims, placer, signals } = coordination;
  const keys = new KeyRing();
  const authenticator = new Authenticator(config, keys);
  const renewer = new ReservationRenewer(clock, placer);
  const observer = new EngineObserver(clock, placer);
  const hostCount = (): number => group.members().length;
  const serviceQueues = new ServiceQueues(
    clock,
    random,
    directory,
    hostCount,
    concurrencyShares,
    coordination.admission,
    {
      isAdmissionOn: () => directory.getOverloadPolicy().admission,
      order: (service) => fairQueues.orderOf({ type: 'service', id: service }),
      turns: (service) => turns.forService(service),
      refusalFor: (service) => reach.refusalFor(service),
      speeds,
      metrics,
    },
  );
  reach.onChange(({ service }) => serviceQueues.refuseUnreachable(service));
  directory.setWatch(signals);
  if (options.buffers !== undefined) {
    directory.setBuffers(options.buffers);
    options.buffers.setSwitch(() => directory.getOverloadPolicy().boundedBuffers);
  }
  signals.onChange(() => serviceQueues.refresh());
  const inFlight = new InFlightRequests();
  const completions = new CompletionHandler({
    self: identity.host,
    clock,
    directory,
    placements: new WaitingPlacer(placer, fairQueues, () => clock.now()),
    renewer,
    observer,
    metrics,
    relocator: new StreamRelocator({
      ...{ clock, random, directory, placements: placer, metrics },
      drainMs: options.upstreamDrainMs,
    }),
    rates,
    retryGate,
    crashGuard,
  });
  const services = new ServiceCallHandler({
    clock,
    directory,
    queues: serviceQueues,
    fairQueues,
    admission: coordination.admission,
    rates,
    claims,
    retryGate,
    crashGuard,
    self: { host: identity.host, incarnation },
    metrics,
  });
  const versions = new StreamVersions({
    ...{ self: identity.host, clock, directory, metrics, link: options.originLink },
    getMembers: () => group.members(),
    isListCurrent: () => config.isListCurrent?.() ?? true,
    confirmList: async () => (await config.confirmList?.()) ?? true,
    getRoutes: () => config.current()?.config.routes ?? [],
  });
  const commonOptions = { clock, random, authenticator, config, directory, inFlight, metrics };
  const handlers = { completions, services };
  const relay =
    options.relayLink === undefined
      ? undefined
      : new RequestRelay({
          ...{ self: identity.host, clock, reach, link: options.relayLink, metrics },
          peers: new RelayPeers(identity.zone, random),
        });
  return {
    coordination,
    keys,
    directory,
    renewer,
    observer,
    serviceQueues,
    fairQueues,
    inFlight,
    backend: new HostBackend({ ...commonOptions, ...handlers, ...admission, group, incarnation }),
    reach,
    versions,
    forwarding: new ForwardHandler({
      ...{ ...commonOptions, ...handlers, ...admission, turns, retryGate, relay, versions },
    }),
  };
}
