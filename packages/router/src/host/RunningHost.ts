import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { CallerServer } from '@camphorvane/caller';
import type { ZoneId } from '@camphorvane/core';
import { RandomSource, SystemClock } from '@camphorvane/core';
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
import { groupAgreement } from '../agreement/GroupAgreement.ts';
import { Metrics } from '../observe/Metrics.ts';
import type { HostSettings } from '../settings/HostSettings.ts';
import { Host } from './Host.ts';

/** Bytes of randomness that name one start of a host; enough that no two starts share a name. */
const INCARNATION_BYTES = 9;

/** Name in the certificates of all hosts, where links are TLS; hosts are called by IP numbers. */
const TLS_SERVER_NAME = 'camphorvane';

/** A host that listens. */
export interface RunningHost {
  readonly host: Host;
  readonly zone: ZoneId;
  /** Resolves when an operator asks the host to drain. */
  readonly drainAsked: Promise<void>;
  /** Leaves without cutting a request, then closes all listeners. */
  drain(): Promise<void>;
  /** Closes everything at once. */
  stop(): Promise<void>;
}

/**
 * Starts a host from its settings: listeners, links, clients.
 *
 * @param settings - The checked settings.
 * @returns The running host, or one sentence that says why it can't run.
 */
export async function startHost(settings: HostSettings): Promise<Result<RunningHost, string>> {
  const clock = new SystemClock();
  const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');
  const self = { host: settings.host.id, incarnation, protocol: PEER_PROTOCOL };
  const tls = readTls(settings);
  if (tls.isErr()) return err(tls.error);
  const credential = new FleetCredential(settings.peers.credential);
  const link = new GrpcPeerLink({ clock, self, credential, tls: tls.value });
  const host = new Host({
    identity: {
      host: settings.host.id,
      zone: settings.host.zone,
      callerAddress: addressOf(settings.callers),
      peerAddress: addressOf(settings.peers),
    },
    incarnation,
    agreement: groupAgreement({
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
    metrics: metricsOf(settings),
  });
  const peers = new GrpcPeerServer({ clock, self, credential, tls: tls.value, handler: host });
  const bound = await peers.start(addressOf(settings.peers));
  if (bound.isErr()) return err(`peers: ${bound.error.message}`);
  const callers = new CallerServer({
    backend: host.backend,
    clock,
    isFleet: hopCheck(settings.peers.credential),
  });
  const listening = await listen(callers, settings);
  if (listening.isErr()) {
    await peers.stop();
    return err(listening.error);
  }
  const asked = operatorsWish();
  const operators = new OperatorServer({
    credential: settings.operators.credential,
    secrets: [settings.peers.credential],
    backend: {
      dump: () => Promise.resolve({ host: host.dump(), links: link.dump(), peers: peers.dump() }),
      status: () => host.status(),
      drain: asked.ask,
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
    drainAsked: asked.promise,
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

function metricsOf(settings: HostSettings): Metrics {
  const { metrics, host } = settings;
  return metrics === undefined
    ? new Metrics()
    : Metrics.sendingTo(metrics.ip, metrics.port, host.id);
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

/** Carries an operator's wish to drain from the port to whoever ends the process. */
function operatorsWish(): { readonly promise: Promise<void>; readonly ask: () => void } {
  let ask = (): void => undefined;
  const promise = new Promise<void>((resolve) => {
    ask = resolve;
  });
  return { promise, ask: () => ask() };
}

/**
 * Gets the check of the hop header, whose value only hosts of the fleet can make.
 *
 * @param secret - The fleet's credential.
 * @returns The check, in constant time.
 */
function hopCheck(secret: string): (shown: string) => boolean {
  const expected = createHmac('sha256', secret).update('hop').digest('hex');
  return (shown) =>
    shown.length === expected.length && timingSafeEqual(Buffer.from(shown), Buffer.from(expected));
}
