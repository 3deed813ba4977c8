import type { ForwardEvent } from '@camphorvane/caller';
import type { Millis } from '@camphorvane/core';
import { RandomSource, sha256Hex, sleep, VirtualClock } from '@camphorvane/core';
import type { HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import { decodeDigest, decodeHint, encodeDigest, encodeHint } from '@camphorvane/peer/hints';
import type { RelayedRequest, RelayEvent, RelayLink } from '@camphorvane/peer/relay';
import { Host, Metrics } from '@camphorvane/router';
import type { DeployedConfig, DeploymentFormat, ServerRecord } from '@camphorvane/store';
import type { PlainServer, UpstreamError, UpstreamResponse } from '@camphorvane/upstream';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { StoreCoordination } from '../../src/coordination/StoreCoordination.ts';
import { callerAddresses } from '../../src/host/callerAddresses.ts';
import { WatchableMemoryStore } from './WatchableMemoryStore.ts';

const NETWORK_DELAY_MS: Millis = 2;
const CONNECT_TIMEOUT_MS: Millis = 400;
const CALL_MS: Millis = 40;

/** Milliseconds that callers wait. */
export const CALLER_TIMEOUT_MS: Millis = 1_500;

export const ROUTE = { attempts: 2, timeoutMs: 1_500, targetMs: 400 };

const KEY = 'the-key';
const ZONES = ['a', 'b', 'c'];

const TEAM = {
  ...{ id: 't', rate: { tokensPerSecond: 0, burstTokens: 0 }, models: [], weight: 1 },
  keyDigests: [sha256Hex(KEY)],
};

const routeOf = (
  name: string,
  kind: 'idempotent' | 'at_most_once',
): DeployedConfig['routes'][0] => ({
  ...{ name, kind, host: 'h.example', pathPrefix: `/${name}/`, open: false, priority: 1 },
  ...{ targets: [{ service: 's', weight: 1 }], timeoutMs: ROUTE.timeoutMs },
  ...{ targetMs: ROUTE.targetMs, maxAttempts: ROUTE.attempts, resumable: false },
});

const CONFIG: DeployedConfig = {
  ...{ version: 1, teams: [TEAM] },
  routes: [routeOf('safe', 'idempotent'), routeOf('once', 'at_most_once')],
  services: [{ id: 's', engines: undefined, slowStart: { forMs: 3_000, requestsPerSecond: 20 } }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const FORMAT: DeploymentFormat = {
  ...{ configKind: 'config', configName: 'main', serverKind: 'servers' },
  ...{ drainedZoneKind: 'drained', hostKind: 'hosts', leaseKind: 'leases' },
  parseConfig: ({ value }) => ok(value as DeployedConfig),
  parseServer: ({ value }) => ok(value as ServerRecord),
};

/** How the links of a host that is cut off treat new connections. */
export type LostLinks = 'refusing' | 'hanging';

/** One run of a request at a server. */
export interface ServerRun {
  readonly id: string;
  readonly server: string;
  /** The host that sent it. */
  readonly host: string;
  /** Milliseconds after the caller's request at which the host gives up, as the server was told. */
  readonly deadlineMs: Millis;
}

/** One request as its caller saw it. */
export interface CallerRequest {
  readonly id: string;
  readonly host: string;
  readonly sentAt: Millis;
  end: string;
}

/** A host with its listeners for messages of peers. */
export interface RelayHost {
  readonly name: string;
  readonly host: Host;
  readonly coordination: StoreCoordination;
  hint?: (hint: HostHint) => void;
  digest?: (digest: HostDigest) => void;
}

/** Whole hosts that serve plain calls, on a virtual clock, with links to servers that can be lost. */
export class RelayFleet {
  readonly clock = new VirtualClock();

  readonly hosts: readonly RelayHost[];

  readonly runs: ServerRun[] = [];

  readonly requests: CallerRequest[] = [];

  /** Requests that were passed on, by the host that passed them on and the peer. */
  readonly relayed: { readonly from: string; readonly to: string; readonly at: Millis }[] = [];

  /** How the links of hosts are lost; hosts that are not in it reach the servers. */
  lost: ReadonlyMap<string, LostLinks> = new Map();

  private readonly store = new WatchableMemoryStore();

  private readonly sentAt = new Map<string, Millis>();

  /**
   * @param count - Number of hosts.
   * @param servers - Number of servers.
   */
  constructor(count: number, servers: number) {
    this.store.put('config', 'main', CONFIG);
    Array.from({ length: servers }, (_, i) => `s${i}`).forEach((id) => {
      const record = { id, service: 's', address: `${id}:1`, zone: 'a', slots: 20, leaving: false };
      this.store.put('servers', id, { ...record, startingMs: 0, engine: undefined });
    });
    this.hosts = Array.from({ length: count }, (_, i) => this.createHost(i));
    this.hosts.forEach(({ host }) => host.start());
  }

  /** Sends a request to a host; it is recorded with how it ends. */
  async send(index: number, path: string): Promise<void> {
    const target = this.hosts[index];
    if (target === undefined) return;
    const id = `r${this.requests.length}`;
    const sentAt = this.clock.now();
    const request: CallerRequest = { id, host: target.name, sentAt, end: 'open' };
    this.requests.push(request);
    this.sentAt.set(id, sentAt);
    const req = {
      ...{ key: KEY, host: 'h.example', method: 'POST', path: `${path}${id}`, headers: { id } },
      ...{ body: Buffer.from(id), callerTimeoutMs: CALLER_TIMEOUT_MS, work: undefined },
    };
    let last: ForwardEvent | undefined;
    const events = target.host.forwarding.forward(id, req, new AbortController().signal);
    for await (const event of events) last = event;
    request.end =
      last?.type === 'refused' ? `${last.refusal.code} ${last.refusal.execution}` : 'done';
  }

  /** Gets the names of the hosts that the directory of a host names to callers of any zone. */
  namedBy({ coordination }: RelayHost): readonly string[] {
    const addresses = ZONES.flatMap((zone) => callerAddresses(coordination.members(), zone));
    return addresses.map((address) => address.split(':')[0] ?? '');
  }

  /** Stops all hosts. */
  end(): void {
    this.hosts.forEach(({ host }) => host.stop());
  }

  private createHost(index: number): RelayHost {
    const name = `h${String(index).padStart(3, '0')}`;
    const { clock, store } = this;
    const metrics = new Metrics();
    const listeners: Pick<RelayHost, 'hint' | 'digest'> = {};
    let coordination: StoreCoordination | undefined;
    const zone = ZONES[index % ZONES.length] ?? 'a';
    const host: Host = new Host({
      identity: { host: name, zone, callerAddress: `${name}:1`, peerAddress: `${name}:2` },
      ...{ incarnation: `i-${name}`, drainGraceMs: 1_000, clock, metrics },
      random: new RandomSource(index + 1),
      coordination: (context) => {
        coordination = new StoreCoordination(
          {
            ...{ store: store.asStore(), format: FORMAT, hints: this.linkOf(listeners), metrics },
            ...{ strength: 1, tolerance: { over: 0.1, slackTokens: 0, windowMs: 8_000 } },
            retryAllowance: { ratio: 0.2, slack: 50, windowMs: 10_000 },
            ...{
              strictKeysMs: undefined,
              watchMs: 1_800,
              heartbeatMs: 1_200,
              drainsZones: false,
              leaseMs: 3_000,
            },
          },
          context,
        );
        return coordination;
      },
      engines: () => {
        throw new Error('this fleet has no engines');
      },
      servers: ({ id }) => this.createServer(name, id, () => host),
      probe: async (_url, timeoutMs) => (await this.connect(name, timeoutMs)) === undefined,
      relayLink: this.relayLinkOf(name),
    });
    if (coordination === undefined) throw new Error('no coordination');
    return Object.assign(listeners, { name, host, coordination });
  }

  private createServer(host: string, id: string, getHost: () => Host): PlainServer {
    return {
      id,
      call: ({ headers, timeoutMs }) =>
        new ResultAsync(this.runCall(host, id, headers.id ?? '', timeoutMs, getHost())),
    };
  }

  private async runCall(
    host: string,
    server: string,
    id: string,
    timeoutMs: Millis,
    { connects }: Host,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    let giveUp = (): void => undefined;
    const givenUp = new Promise<string>((resolve) => {
      giveUp = () => resolve('given up');
    });
    const attempt = connects.begin(server, giveUp);
    const failure = await Promise.race([givenUp, this.connect(host, CONNECT_TIMEOUT_MS)]);
    attempt[failure === undefined ? 'connected' : 'failed']();
    if (failure !== undefined) {
      return err({ type: 'unreachable', dispatched: false, message: failure });
    }
    const sinceMs = this.clock.now() - (this.sentAt.get(id) ?? 0);
    this.runs.push({ id, server, host, deadlineMs: sinceMs + timeoutMs });
    await sleep(this.clock, CALL_MS);
    return ok({ status: 200, headers: {}, body: Buffer.from(id) });
  }

  /** Connects a host to a server; resolves to the failure, undefined if there is none. */
  private async connect(host: string, timeoutMs: Millis): Promise<string | undefined> {
    const links = this.lost.get(host);
    await sleep(this.clock, links === 'hanging' ? timeoutMs : NETWORK_DELAY_MS);
    return links;
  }

  private relayLinkOf(from: string): RelayLink {
    return { relay: (...args) => this.relay(from, ...args) };
  }

  private async *relay(
    from: string,
    address: string,
    request: RelayedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<RelayEvent> {
    const peer = this.find(address);
    this.relayed.push({ from, to: peer?.name ?? '', at: this.clock.now() });
    await sleep(this.clock, NETWORK_DELAY_MS);
    if (peer !== undefined) yield* peer.host.serveRelayed(request, signal);
  }

  private linkOf(own: Pick<RelayHost, 'hint' | 'digest'>): HintLink {
    const deliver = (address: string, receive: (to: RelayHost) => void): void => {
      const to = this.find(address);
      if (to !== undefined) this.clock.after(NETWORK_DELAY_MS, () => receive(to));
    };
    return {
      sendHint: (hint, to) => {
        const read = decodeHint(encodeHint(hint));
        if (read !== undefined) to.forEach((one) => deliver(one, (peer) => peer.hint?.(read)));
      },
      sendDigest: (digest, to) => {
        const read = decodeDigest(encodeDigest(digest));
        if (read !== undefined) deliver(to, (peer) => peer.digest?.(read));
      },
      onHint: (listener) => Object.assign(own, { hint: listener }),
      onDigest: (listener) => Object.assign(own, { digest: listener }),
    };
  }

  private find(address: string): RelayHost | undefined {
    return this.hosts.find(({ name }) => address === `${name}:2`);
  }
}
