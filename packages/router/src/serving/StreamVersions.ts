import type { Clock, HostId, Millis, ModelId, RequestId } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import {
  decideTakeUp,
  ORIGIN_TTL_MS,
  peersToAsk,
  peersToTell,
  StreamOrigins,
  VersionHistory,
} from '@camphorvane/decisions';
import type { StreamOrigin, TakeUpDecision } from '@camphorvane/decisions';
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
}

/**
 * Knows which software version began each stream, so that it goes on at that version only.
 *
 * A host tells a few peers, chosen by the id of the stream, before the first event leaves, and asks the same ones
 * when a caller takes a stream up that it does not know.
 */
export class StreamVersions {
  private readonly options: StreamVersionsOptions;

  private readonly origins = new StreamOrigins();

  private readonly history = new VersionHistory(ORIGIN_TTL_MS, MAX_LIST_GAP_MS);

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

  /** Records which versions the engines of each pool have now. */
  recordVersions(): void {
    const { directory, clock, isListCurrent } = this.options;
    this.noticeSuspension();
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
   * Records the version that brought the first event of a stream, before the event leaves.
   *
   * @param id - Id of the attempt that brought it.
   * @param version - Name of the version.
   */
  begin(id: RequestId, version: string): void {
    const origin = { id, version };
    this.origins.keep(origin, this.options.clock.now());
    this.tell([origin]);
    log('stream_bound', { id, version });
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
   * @param model - The pool.
   * @returns The decision.
   */
  async takeUp(
    id: RequestId,
    resumed: RequestId | undefined,
    model: ModelId,
  ): Promise<TakeUpDecision> {
    const { clock, metrics } = this.options;
    const hasVersions = this.haveVersions(model);
    const own = resumed === undefined ? undefined : this.origins.get(resumed, clock.now());
    const isAsked = hasVersions && own === undefined && resumed !== undefined;
    const peers = isAsked ? await this.askPeers(resumed, model) : [];
    const soleVersion = this.getSoleVersion(model);
    const decision = decideTakeUp({ own, peers, soleVersion, hasVersions });
    const outcome = decision.type === 'go_on' ? decision.source : decision.type;
    metrics.count('stream.takeups', { outcome });
    const version = decision.type === 'go_on' ? nameOf(decision) : undefined;
    const ageMs = own === undefined ? undefined : Math.round(clock.now() - own.toldAt);
    log('stream_taken_up', {
      ...{ id, resumed, outcome, version, ageMs },
      listed: this.history.countVersions(model),
      knownMs: Math.round(this.history.getKnownMs(model, clock.now())),
    });
    if (resumed !== undefined && version !== undefined) this.begin(resumed, version);
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
    const now = this.options.clock.now();
    const told = this.origins.get(id, now)?.version;
    const version = told ?? this.getSoleVersion(model);
    return { version, isTold: told !== undefined };
  }

  private getSoleVersion(model: ModelId): string | undefined {
    const { clock, isListCurrent } = this.options;
    this.noticeSuspension();
    return isListCurrent() ? this.history.getSoleVersion(model, clock.now()) : undefined;
  }

  /** A machine may be suspended for a time that its monotonic clock does not count. */
  private noticeSuspension(): void {
    const { clock } = this.options;
    const offsetMs = clock.wall() - clock.now();
    if (Math.abs(offsetMs - this.wallOffsetMs) > MAX_LIST_GAP_MS) this.history.restart(clock.now());
    this.wallOffsetMs = offsetMs;
  }

  /**
   * Asks peers for the version that began a stream. What a peer was told holds; the only version that a peer has
   * listed counts only if this host has listed no other one, as the peer may have an old list.
   */
  private async askPeers(id: RequestId, model: ModelId): Promise<readonly string[]> {
    const { link } = this.options;
    if (link === undefined) return [];
    const addresses = this.addressesOf((peers) => peersToAsk(id, peers));
    const answers = await Promise.all(addresses.map((address) => link.ask(address, id, model)));
    const named = (isTold: boolean): readonly string[] =>
      answers.flatMap((one) => (one?.isTold === isTold ? (one.version ?? []) : []));
    const told = named(true);
    if (told.length > 0) return told;
    return named(false).filter((version) => this.history.hasNoOther(model, version));
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

function nameOf({
  binding,
}: Extract<TakeUpDecision, { readonly type: 'go_on' }>): string | undefined {
  return binding.type === 'bound' ? binding.version : undefined;
}

function namesOf(members: readonly FleetMember[]): string {
  return members.map(({ host }) => host).join(' ');
}
