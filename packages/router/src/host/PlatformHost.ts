import { randomBytes } from 'node:crypto';
import {
  RandomSource,
  ReadLag,
  RequestIntake,
  runInBackground,
  setFaultListener,
  SystemClock,
} from '@camphorvane/core';
import { HintSocket } from '@camphorvane/peer/hints';
import { PeerOriginLink } from '@camphorvane/peer/origins';
import { HttpRelayLink, RelayServer } from '@camphorvane/peer/relay';
import { HttpSnapshotExchange } from '@camphorvane/peer/snapshots';
import type { PlatformSettings } from '@camphorvane/platform';
import {
  DirectoryServer,
  Ingress,
  ObjectApiStore,
  PLATFORM_FORMAT,
  PlatformEngine,
  PlatformServer,
} from '@camphorvane/platform';
import { tcpProbe } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { StoreCoordination } from '../coordination/StoreCoordination.ts';
import { storeCoordinationFactory } from '../coordination/storeCoordinationFactory.ts';
import { HostBuffers } from '../buffers/HostBuffers.ts';
import { DeliveryLog, summarizeDelivery } from '../observe/DeliveryLog.ts';
import type { DeliverySummary } from '../observe/DeliveryLog.ts';
import { eventLog } from '../observe/EventLog.ts';
import { FaultLog } from '../observe/FaultLog.ts';
import { LoopDelay } from '../observe/LoopDelay.ts';
import { Metrics } from '../observe/Metrics.ts';
import { callerAddresses } from './callerAddresses.ts';
import { connectionLimits } from './connectionLimits.ts';
import { Host } from './Host.ts';
import { HostStop } from './HostStop.ts';
import type { CutOff } from './HostStop.ts';

/** Random bytes of an incarnation id; enough to be unique across restarts. */
const INCARNATION_BYTES = 9;

const log = eventLog('request');

/** A running host on the users' platform. */
export interface PlatformHost {
  readonly host: Host;
  /** Drains and stops the host; requests that can finish within the grace period do. */
  drain(): Promise<CutOff>;
  /** Ends what is left at once: requests in flight, and answers that callers have not taken. */
  cutOff(): Promise<CutOff>;
  /** Waits until all answers are taken, and nothing more has arrived. */
  untilDelivered(): Promise<void>;
  /** Gets what callers have not taken of answers that have ended. */
  getDelivery(): DeliverySummary;
}

/**
 * Starts a host on the users' platform. Request handling is the same as for other hosts; the
 * callers' interface and the clients of upstreams are those of the platform.
 *
 * @param settings - The validated settings.
 * @returns The running host, or the reason why it can't start, as one sentence.
 */
export async function startPlatformHost(
  settings: PlatformSettings,
): Promise<Result<PlatformHost, string>> {
  const clock = new SystemClock();
  const hints = new HintSocket();
  const metrics = new Metrics();
  const connectionLimitOf = connectionLimits(settings.connections, metrics, clock);
  const snapshots = new HttpSnapshotExchange(clock, connectionLimitOf('peers'));
  const originLink = new PeerOriginLink(clock, hints, (ip) => snapshots.isPeer(ip));
  const faults = new FaultLog(clock, metrics);
  setFaultListener((place, thrown) => faults.record(place, thrown));
  const buffers = new HostBuffers(clock, metrics, settings.memoryMb);
  let coordination: StoreCoordination | undefined;
  const host: Host = new Host({
    identity: {
      host: settings.host,
      zone: settings.zone,
      callerAddress: `${settings.callers.ip}:${settings.callers.port}`,
      peerAddress: `${settings.ip}:${settings.peerPort}`,
    },
    incarnation: randomBytes(INCARNATION_BYTES).toString('base64url'),
    drainGraceMs: settings.graceMs,
    upstreamDrainMs: settings.upstreamDrainMs,
    clock,
    random: new RandomSource(randomBytes(4).readInt32BE()),
    coordination: storeCoordinationFactory(
      {
        store: new ObjectApiStore(settings.storeAddress, clock),
        format: PLATFORM_FORMAT,
        hints,
        snapshots,
        strength: settings.cpuCores,
        tolerance: settings.quota,
        retryAllowance: settings.retries,
        strictKeysMs: settings.strictKeysMs,
        watchMs: settings.watchMs,
        heartbeatMs: settings.heartbeatMs,
        leaseMs: settings.leaseMs,
        drainsZones: settings.drainsZones,
        overload: settings.overload,
        metrics,
      },
      (created) => {
        coordination = created;
      },
    ),
    engines: (cfg, onSignals) => new PlatformEngine(cfg, clock, onSignals, buffers, host.connects),
    servers: (cfg, onSignals) => new PlatformServer(cfg, clock, onSignals, buffers, host.connects),
    metrics,
    buffers,
    probe: tcpProbe(clock),
    relayLink: new HttpRelayLink(clock, settings.ip),
    originLink,
  });
  const intake = new RequestIntake(new ReadLag());
  const relayServer = new RelayServer({
    ...{ clock, buffers, intake, handler: host.serveRelayed },
    isPeer: (ip) => snapshots.isPeer(ip),
  });
  snapshots.setOtherHandler(
    (req, res) => relayServer.handle(req, res) || originLink.handle(req, res),
  );
  if (coordination === undefined) return err('the host did not create its coordination');
  const { config, group, isReady } = selectParts(coordination);
  let leaving = false;
  const delivery = new DeliveryLog(metrics, () => leaving);
  const ingress = new Ingress({
    intake,
    backend: host.forwarding,
    isDraining: () => leaving,
    limits: () => config.current()?.config.limits,
    buffers,
    maxConnections: settings.connections.callers,
    onConnectionClosed: connectionLimitOf('callers').onClose,
    onLeftUnread: () => metrics.count('request.left', { stage: 'unread' }),
    onLate: (id, waitedMs) => {
      metrics.count('request.late');
      log('late', { id, waitedMs: Math.round(waitedMs) });
    },
    onUndelivered: (answer) => delivery.recordUndelivered(answer),
  });
  const getDelivery = (): DeliverySummary => summarizeDelivery(ingress.getUndelivered());
  const directory = new DirectoryServer(
    {
      getAddresses: (zone) => callerAddresses(group.members(), zone),
      isReady: () => !leaving && isReady(),
      metrics: () => metrics.getPrometheusText(),
    },
    settings.maxDirectoryTtlMs,
    connectionLimitOf('directory'),
  );
  const bound = await hints.listen(settings.ip, settings.peerPort);
  if (bound.isErr()) return err(`hints: ${bound.error}`);
  const offered = await snapshots.listen(settings.ip, settings.peerPort);
  if (offered.isErr()) return err(`snapshots: ${offered.error}`);
  const opened = await directory.listen([settings.directory, settings.readiness]);
  if (opened.isErr()) return err(`directory: ${opened.error}`);
  const listening = await ingress.listen(settings.callers);
  if (listening.isErr()) return err(`callers: ${listening.error}`);
  config.onChange(({ config: { limits } }) => {
    if (limits !== undefined) ingress.applyLimits(limits);
  });
  host.start();
  runInBackground('host.task', () =>
    new LoopDelay(clock, metrics, intake).run(new AbortController().signal),
  );
  const stop = new HostStop({
    ...{ clock, host, ingress, graceMs: settings.graceMs },
    others: [snapshots, directory],
  });
  return ok({
    host,
    getDelivery,
    cutOff: () => stop.cutOff(),
    untilDelivered: () => stop.untilDelivered(),
    drain: () => {
      leaving = true;
      return stop.run();
    },
  });
}

function selectParts(coordination: StoreCoordination): Pick<
  StoreCoordination,
  'config' | 'group'
> & {
  readonly isReady: () => boolean;
} {
  const { config, group } = coordination;
  return { config, group, isReady: () => coordination.isReady() };
}
