import type { Clock, ForwardRoute, HostId, Millis, ModelId, RequestId } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import {
  decideTakeUp,
  ORIGIN_TTL_MS,
  peersToAsk,
  peersToTell,
  RoutePools,
  StreamOrigins,
  VersionHistory,
} from '@camphorvane/decisions';
import type { Origin, StreamOrigin, TakeUpDecision } from '@camphorvane/decisions';
import type { OriginAnswer, OriginLink } from '@camphorvane/peer/origins';
import type { FleetMember } from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';

/** Milliseconds between two rounds in which new peers are told of running streams. */
const TELL_PERIOD_MS: Millis = 1_000;

/** Milliseconds after which the same peers are told again: datagrams may be lost, and peers forget. */
const TELL_AGAIN_MS: Millis = 10_000;

/**
 * Milliseconds without a current list of engines after which versions may have come and gone unseen. Longer than a
 * watch of the store and the round after it.
 */
const MAX_LIST_GAP_MS: Millis = 5_000;

const log = eventLog('versions');

/** What peers answer of a stream: what they were told, or else the only version that they know. */
interface PeerAnswers {
  readonly told: readonly Origin[];
  readonly supposed: readonly Origin[];
}

const NO_ANSWERS: PeerAnswers = { told: [], supposed: [] };

/** A stream that this host serves. */
interface RunningStream {
  readonly origin: StreamOrigin;
  /** Names of the peers that were live when peers were told of it. */
  readonly toldAmong: string;
  readonly toldAt: Millis;
}

/** Options of {@link StreamVersions}. */
export interface StreamVersionsOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly metrics: Metrics;
  /** Tells and asks peers; absent where hosts don't share what they know. */
  readonly link: OriginLink | undefined;
  /** Gets the live hosts. */
  readonly getMembers: () => readonly FleetMember[];
  /** Tells whether the list of engines is known to be current. */
  readonly isListCurrent: () => boolean;
  /** Reads the list of engines; gets whether that succeeded in time. */
  readonly confirmList: () => Promise<boolean>;
  /** Gets the routes of the configuration in force. */
  readonly getRoutes: () => readonly ForwardRoute[];
}

/**
 * Knows which pool and which software version began each stream, so that it goes on there only.
 *
 * A host tells a few peers, chosen by the id of the stream, before the first event leaves, and asks the same ones
 * when a caller takes a stream up that it does not know.
 */
export class StreamVersions {
  private readonly options: StreamVersionsOptions;

  private readonly origins = new StreamOrigins();

  private readonly history = new VersionHistory(ORIGIN_TTL_MS, MAX_LIST_GAP_MS);

  private readonly routePools = new RoutePools(ORIGIN_TTL_MS);

  private readonly running = new Map<RequestId, RunningStream>();

  private readonly versionCounts = new Map<ModelId, number>();

  /** Wall time less monotonic time. */
  private wallOffsetMs: Millis;

  /** @param options - Identity and components of the host. */
  constructor(options: StreamVersionsOptions) {
    this.options = options;
    const { link, clock } = options;
    this.wallOffsetMs = clock.wall() - clock.now();
    link?.onTold((origins) => origins.forEach((origin) => this.origins.keep(origin, clock.now())));
    link?.setSource((id, model) => this.answer(id, model));
  }

  /** Tells peers of running streams, and follows the versions of the engines, until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'versions', clock: this.options.clock, signal }, async () => {
      await sleep(this.options.clock, TELL_PERIOD_MS, signal);
      this.recordVersions();
      this.tellAgain();
    });
  }

  /** Records which versions the engines of each pool have now, and which pools the routes lead to. */
  recordVersions(): void {
    const { directory, clock, isListCurrent, getRoutes } = this.options;
    this.noticeSuspension();
    this.routePools.record(getRoutes(), clock.now());
    const isCurrent = isListCurrent();
    const models = directory.getModels();
    models.forEach((model) => {
      const { engines = [], softwareVersions = [] } = directory.getPool(model) ?? {};
      if (isCurrent) this.history.record(model, softwareVersions, clock.now());
      const serving = engines.map(({ softwareVersion }) => JSON.stringify(softwareVersion));
      this.reportCount(model, new Set(serving).size);
    });
    this.history.retain(new Set(models));
  }

  /**
   * Tells whether the engines of a pool have versions. That is a fact of the pool: while no engine is listed, a stream
   * has a version all the same. A pool that is not configured may have them.
   *
   * @param model - The pool.
   */
  haveVersions(model: ModelId): boolean {
    const pool = this.options.directory.getPool(model);
    return pool === undefined || pool.softwareVersions !== undefined;
  }

  /**
   * Records what brought the first event of a stream, before the event leaves.
   *
   * @param id - Id of the attempt that brought it.
   * @param origin - The pool, and the name of the version.
   */
  begin(id: RequestId, { version, pool }: Required<Origin>): void {
    const origin = { id, version, pool };
    this.origins.keep(origin, this.options.clock.now());
    this.tell([origin]);
    log('stream_bound', { id, version, pool });
  }

  /** Records that this host does not serve a stream any more; callers may still take it up. */
  end(id: RequestId): void {
    this.running.delete(id);
  }

  /**
   * Decides whether a stream that its caller takes up goes on.
   *
   * @param id - Id of the caller's present attempt.
   * @param resumed - Id of the attempt that brought the first event; undefined where the caller names none.
   * @param pools - The pools to which the route leads.
   * @returns The decision.
   */
  async takeUp(
    id: RequestId,
    resumed: RequestId | undefined,
    pools: readonly ModelId[],
  ): Promise<TakeUpDecision> {
    const { clock, metrics } = this.options;
    const hasVersions = pools.some((pool) => this.haveVersions(pool));
    const own = resumed === undefined ? undefined : this.origins.get(resumed, clock.now());
    const isAsked = hasVersions && own === undefined && resumed !== undefined;
    const { told, supposed } = isAsked ? await this.askPeers(resumed, pools) : NO_ANSWERS;
    const peers = told.length > 0 ? told : supposed;
    const solePool = pools.length === 1 ? pools[0] : undefined;
    const soleVersion = solePool === undefined ? undefined : this.getSoleVersion(solePool);
    const known = decideTakeUp({ own, peers, soleVersion, pools, hasVersions });
    const isTold = own !== undefined || told.length > 0;
    const decision = isTold ? known : await this.confirmOnlyVersion(known);
    const outcome = decision.type === 'go_on' ? decision.source : decision.type;
    metrics.count('stream.takeups', { outcome });
    const isRefuted = decision.type !== known.type;
    const origin = originOf(decision);
    const ageMs = own === undefined ? undefined : Math.round(clock.now() - own.toldAt);
    const pool = origin?.pool ?? solePool;
    log('stream_taken_up', {
      ...{ id, resumed, outcome, version: origin?.version, pool, ageMs },
      ...(isRefuted ? { refuted: originOf(known)?.version } : {}),
      listed: pool === undefined ? undefined : this.history.countVersions(pool),
      knownMs:
        pool === undefined ? undefined : Math.round(this.history.getKnownMs(pool, clock.now())),
    });
    if (resumed !== undefined && origin !== undefined) this.begin(resumed, origin);
    return decision;
  }

  /** Gets the numbers that operators see. */
  dump(): object {
    return {
      origins: this.origins.size,
      running: this.running.size,
      versions: Object.fromEntries(this.versionCounts),
    };
  }

  private answer(id: RequestId, model: ModelId): OriginAnswer {
    const told = this.origins.get(id, this.options.clock.now());
    if (told === undefined) return { version: this.getSoleVersion(model), isTold: false };
    return { version: told.version, pool: told.pool, isTold: true };
  }

  /** Gets the version that has begun each stream which may be taken up at a pool, if there is only one. */
  private getSoleVersion(model: ModelId): string | undefined {
    const { clock, isListCurrent } = this.options;
    this.noticeSuspension();
    const isKnown = isListCurrent() && this.routePools.isAlone(model);
    return isKnown ? this.history.getSoleVersion(model, clock.now()) : undefined;
  }

  /**
   * Reads the list of engines before the only version stands for a stream that nobody was told of. This host or the peer
   * that names it may have been cut off from the others, or have stood still, while engines of another version joined and
   * began the stream.
   */
  private async confirmOnlyVersion(decision: TakeUpDecision): Promise<TakeUpDecision> {
    const origin = originOf(decision);
    if (origin === undefined) return decision;
    if (!(await this.options.confirmList())) return { type: 'unknown' };
    this.recordVersions();
    const { pool, version } = origin;
    const listed = this.options.directory.getPool(pool)?.softwareVersions ?? [];
    const isOnlyListed = listed.every((one) => one.type === 'known' && one.name === version);
    const isOnly = isOnlyListed && this.history.hasNoOther(pool, version);
    return isOnly ? decision : { type: 'unknown' };
  }

  /** A machine may be suspended for a time that its monotonic clock does not count. */
  private noticeSuspension(): void {
    const { clock } = this.options;
    const offsetMs = clock.wall() - clock.now();
    if (Math.abs(offsetMs - this.wallOffsetMs) > MAX_LIST_GAP_MS) this.history.restart(clock.now());
    this.wallOffsetMs = offsetMs;
  }

  /**
   * Asks peers for what began a stream. What a peer was told holds; the only version that a peer has listed counts
   * only if the route leads to one pool, and this host has listed no other version, as the peer may have an old list.
   */
  private async askPeers(id: RequestId, pools: readonly ModelId[]): Promise<PeerAnswers> {
    const { link } = this.options;
    const [model, ...others] = pools;
    if (link === undefined || model === undefined) return NO_ANSWERS;
    const addresses = this.addressesOf((peers) => peersToAsk(id, peers));
    const answers = await Promise.all(addresses.map((address) => link.ask(address, id, model)));
    const named = (isTold: boolean): readonly Origin[] =>
      answers.flatMap((answer) => {
        const { version, pool } = answer ?? {};
        return version === undefined || answer?.isTold !== isTold ? [] : [{ version, pool }];
      });
    const told = named(true);
    if (others.length > 0 || !this.routePools.isAlone(model)) return { told, supposed: [] };
    const supposed = named(false).filter(({ version }) => this.history.hasNoOther(model, version));
    return { told, supposed };
  }

  /** Tells of the running streams where other peers are live than when peers were told, or that was long ago. */
  private tellAgain(): void {
    const now = this.options.clock.now();
    const among = namesOf(this.livePeers());
    const due = [...this.running.values()].filter(
      ({ toldAmong, toldAt }) => toldAmong !== among || now - toldAt >= TELL_AGAIN_MS,
    );
    this.tell(due.map(({ origin }) => origin));
  }

  private tell(origins: readonly StreamOrigin[]): void {
    const { link, clock } = this.options;
    const told = { toldAmong: namesOf(this.livePeers()), toldAt: clock.now() };
    origins.forEach((origin) => this.running.set(origin.id, { origin, ...told }));
    if (link === undefined) return;
    const byAddress = origins.reduce((all, origin) => {
      this.addressesOf((peers) => peersToTell(origin.id, peers)).forEach((address) =>
        all.set(address, [...(all.get(address) ?? []), origin]),
      );
      return all;
    }, new Map<string, readonly StreamOrigin[]>());
    byAddress.forEach((own, address) => link.tell(own, [address]));
  }

  private addressesOf(choose: (peers: readonly HostId[]) => readonly HostId[]): readonly string[] {
    const byHost = new Map(this.livePeers().map(({ host, peerAddress }) => [host, peerAddress]));
    return choose([...byHost.keys()]).flatMap((host) => byHost.get(host) ?? []);
  }

  private livePeers(): readonly FleetMember[] {
    return this.options.getMembers().filter(({ host }) => host !== this.options.self);
  }

  private reportCount(model: ModelId, versions: number): void {
    if (this.versionCounts.get(model) === versions) return;
    this.versionCounts.set(model, versions);
    this.options.metrics.gauge('engines.versions', versions, { model });
    log('versions_serving', { model, versions });
  }
}

/** Gets the pool and the version at which a stream goes on; undefined where it goes on at any, or not at all. */
function originOf(decision: TakeUpDecision): Required<Origin> | undefined {
  if (decision.type === 'unknown' || decision.pool === undefined) return undefined;
  const { binding, pool } = decision;
  return binding.type === 'bound' ? { version: binding.version, pool } : undefined;
}

function namesOf(members: readonly FleetMember[]): string {
  return members.map(({ host }) => host).join(' ');
}
