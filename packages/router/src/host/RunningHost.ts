import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { CallerServer } from '@camphorvane/caller';
import type { ZoneId } from '@camphorvane/core';
import { RandomSource, setFaultListener, SystemClock } from '@camphorvane/core';
import {
  FleetCredential,
  GrpcPeerLink,
  GrpcPeerServer,
  PEER_PROTOCOL,
  PeerTls,
} from '@camphorvane/peer';
import { HttpObjectStore } from '@camphorvane/store';
import { HttpModelEngine, HttpPlainServer } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import { OperatorServer } from '@camphorvane/operator';
import type { Result } from 'neverthrow';
import { groupCoordination } from '../coordination/GroupCoordination.ts';
import { FaultLog } from '../observe/FaultLog.ts';
import { Metrics } from '../observe/Metrics.ts';
import type { HostSettings } from '../settings/HostSettings.ts';
import { Host } from './Host.ts';

/** Random bytes of an incarnation id; enough to be unique across restarts. */
const INCARNATION_BYTES = 9;

/** Server name in the TLS certificates of all hosts, which are addressed by IP. */
const TLS_SERVER_NAME = 'camphorvane';

/** A running host with open listeners. */
export interface RunningHost {
  readonly host: Host;
  readonly zone: ZoneId;
  /** Resolves when an operator requests a drain. */
  readonly drainRequested: Promise<void>;
  /** Drains the host, then closes all listeners and links. */
  drain(): Promise<void>;
  /** Stops the host and closes all listeners and links immediately. */
  stop(): Promise<void>;
}

/**
 * Starts a host from its settings, with its listeners, peer links and upstream clients.
 *
 * @param settings - The validated settings.
 * @returns The running host, or the reason why it can't start, as one sentence.
 */
export async function startHost(settings: HostSettings): Promise<Result<RunningHost, string>> {
  const clock = new SystemClock();
  const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');
  const self = { host: settings.host.id, incarnation, protocol: PEER_PROTOCOL };
  const tls = readTls(settings);
  if (tls.isErr()) return err(tls.error);
  const credential = new FleetCredential(settings.peers.credential);
  const metrics = createMetrics(settings);
  const faults = new FaultLog(clock, metrics);
  setFaultListener((place, thrown) => faults.record(place, thrown));
  const link = new GrpcPeerLink({ clock, self, credential, tls: tls.value });
  const host = new Host({
    identity: {
      host: settings.host.id,
      zone: settings.host.zone,
      callerAddress: addressOf(settings.callers),
      peerAddress: addressOf(settings.peers),
    },
    incarnation,
    coordination: groupCoordination({
      group: `${settings.host.region}-1`,
      groupSize: settings.group.size,
      fleetHosts: settings.platform.fleetHosts,
      store: new HttpObjectStore({ baseUrl: settings.platform.url, clock }),
      link,
    }),
    drainGraceMs: settings.drain.graceMs,
    clock,
    random: new RandomSource(randomBytes(4).readInt32BE()),
    engines: (cfg) => new HttpModelEngine(cfg.id, cfg.url, clock),
    servers: (cfg) => new HttpPlainServer(cfg.id, cfg.url, clock),
    metrics,
  });
  const peers = new GrpcPeerServer({ clock, self, credential, tls: tls.value, handler: host });
  const bound = await peers.start(addressOf(settings.peers));
  if (bound.isErr()) return err(`peers: ${bound.error.message}`);
  const callers = new CallerServer({
    backend: host.backend,
    clock,
    isFleetCredential: createHopCheck(settings.peers.credential),
  });
  const listening = await listen(callers, settings);
  if (listening.isErr()) {
    await peers.stop();
    return err(listening.error);
  }
  const drainRequest = createDrainRequest();
  const operators = new OperatorServer({
    credential: settings.operators.credential,
    secrets: [settings.peers.credential],
    backend: {
      dump: () => Promise.resolve({ host: host.dump(), links: link.dump(), peers: peers.dump() }),
      status: () => host.status(),
      drain: drainRequest.send,
    },
  });
  const opened = await listenForOperators(operators, settings);
  if (opened.isErr()) {
    await Promise.all([peers.stop(), callers.stop()]);
    return err(opened.error);
  }
  host.start();
  const close = async (): Promise<void> => {
    await Promise.all([callers.stop(), peers.stop(), operators.close()]);
    link.close();
  };
  return ok({
    host,
    zone: settings.host.zone,
    drainRequested: drainRequest.promise,
    drain: async () => {
      await host.drain();
      await close();
    },
    stop: async () => {
      host.stop();
      await close();
    },
  });
}

function addressOf(listener: { readonly ip: string; readonly port: number }): string {
  const ip = listener.ip.includes(':') ? `[${listener.ip}]` : listener.ip;
  return `${ip}:${listener.port}`;
}

function readTls(settings: HostSettings): Result<PeerTls | undefined, string> {
  const { tls } = settings.peers;
  return tls === undefined ? ok(undefined) : PeerTls.read({ ...tls, serverName: TLS_SERVER_NAME });
}

function createMetrics(settings: HostSettings): Metrics {
  const { metrics, host } = settings;
  return metrics === undefined
    ? new Metrics()
    : Metrics.withStatsD(metrics.ip, metrics.port, host.id);
}

async function listen(
  callers: CallerServer,
  settings: HostSettings,
): Promise<Result<number, string>> {
  try {
    return ok(await callers.start(settings.callers.ip, settings.callers.port));
  } catch (thrown) {
    return err(`callers: ${thrown instanceof Error ? thrown.message : String(thrown)}`);
  }
}

async function listenForOperators(
  operators: OperatorServer,
  { operators: { ip, port } }: HostSettings,
): Promise<Result<number, string>> {
  try {
    return ok(await operators.listen({ hostname: ip, port }));
  } catch (thrown) {
    return err(`operators: ${thrown instanceof Error ? thrown.message : String(thrown)}`);
  }
}

/** Creates a promise that resolves when an operator requests a drain. */
function createDrainRequest(): { readonly promise: Promise<void>; readonly send: () => void } {
  let resolvePromise = (): void => undefined;
  const promise = new Promise<void>((resolve) => {
    resolvePromise = resolve;
  });
  return { promise, send: () => resolvePromise() };
}

/**
 * Creates the check of the hop header, an HMAC that only hosts of the fleet can compute.
 *
 * @param secret - The fleet's credential.
 * @returns A check that compares in constant time.
 */
function createHopCheck(secret: string): (value: string) => boolean {
  const expected = createHmac('sha256', secret).update('hop').digest('hex');
  return (value) =>
    value.length === expected.length && timingSafeEqual(Buffer.from(value), Buffer.from(expected));
}
