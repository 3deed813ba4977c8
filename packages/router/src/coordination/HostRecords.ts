import type { Clock, HostId, Incarnation, Millis } from '@camphorvane/core';
import { contain, reportFault, runInBackground, runLoop, sleep } from '@camphorvane/core';
import type { CrashReport, GossipTimings } from '@camphorvane/decisions';
import { gossipTimings, isSharedDigest } from '@camphorvane/decisions';
import type {
  ObjectVersion,
  PlatformError,
  StoreContact,
  StoredObject,
  WatchableStore,
} from '@camphorvane/store';
import { SingleWriterObject } from '@camphorvane/store';
import { eventLog } from '../observe/EventLog.ts';
import type { HostRecord } from './hostRecord.ts';
import { readHostRecord } from './hostRecord.ts';
import type { HostRoster } from './HostRoster.ts';

const log = eventLog('hosts');

/** Options of {@link HostRecords}. */
export interface HostRecordsOptions {
  readonly store: WatchableStore;
  /** Records when the store responds. */
  readonly contact: StoreContact;
  /** Kind of the records in the store. */
  readonly kind: string;
  readonly clock: Clock;
  readonly identity: Pick<HostRecord, 'host' | 'zone' | 'callerAddress' | 'peerAddress'>;
  readonly incarnation: Incarnation;
  /** See {@link HostRecord.strength}. */
  readonly strength: number;
  /** Updated with all records. */
  readonly roster: HostRoster;
  readonly isLeaving: () => boolean;
  /** Gets the crashes to keep in the store. */
  readonly getQuarantine: () => readonly CrashReport[];
  /** Called with the crashes in a record, this host's own or an earlier one under its name included. */
  readonly onQuarantine: (crashes: readonly CrashReport[], from: HostId) => void;
  /** Called before the first write with the incarnation of the process that has written the record of this host. */
  readonly onEarlierProcess: (incarnation: Incarnation) => void;
  /** Called with the peers that have a record, once they are known and whenever they change. */
  readonly onPeersChange: (others: readonly HostId[]) => void;
}

/** Renews the record of this host in the store, reads those of its peers and removes expired ones. */
export class HostRecords {
  private readonly options: HostRecordsOptions;

  private readonly own: SingleWriterObject;

  /** Names of the peers with a record; undefined until the records were read. */
  private peers: readonly HostId[] | undefined;

  /** Versions of malformed records that were logged, by name. */
  private readonly unreadable = new Map<string, ObjectVersion>();

  /** @param options - The store, this host and the callbacks. */
  constructor(options: HostRecordsOptions) {
    this.options = options;
    this.own = new SingleWriterObject(options.store, options.kind, options.identity.host);
  }

  /** Writes and reads records until the signal is aborted. */
  start(signal: AbortSignal): void {
    runInBackground('records', () => this.run(signal));
  }

  /** Writes the record of this host immediately. */
  async write(): Promise<void> {
    const { identity, incarnation, strength, clock, isLeaving } = this.options;
    const suspected = this.options.getQuarantine();
    const shared = suspected.filter(({ digest }) => isSharedDigest(digest));
    const crashes = suspected.filter(({ digest }) => !isSharedDigest(digest));
    const stored = { at: clock.wall(), crashes, ...(shared.length === 0 ? {} : { shared }) };
    const quarantine = suspected.length === 0 ? {} : { quarantine: stored };
    const host = { ...identity, incarnation, leaving: isLeaving(), strength };
    const record: HostRecord = { ...host, ...quarantine };
    // The heartbeat makes each write a change, by which peers see that this host is alive.
    const startedAt = clock.now();
    const problem = await this.own.write({ ...record, beat: Math.round(startedAt) });
    this.recordContact(problem, startedAt);
    if (problem !== undefined) log('record_not_written', { reason: problem.type });
  }

  /** Reads before the first write, which replaces what an earlier process under this name has stored. */
  private async run(signal: AbortSignal): Promise<void> {
    await this.read().catch((thrown: unknown) => reportFault('records.read', thrown));
    runInBackground('records.write', () => this.runWriteLoop(signal));
    await this.runReadLoop(signal);
  }

  private runWriteLoop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    return runLoop({ place: 'records.write', clock, signal }, async () => {
      await this.write();
      await sleep(clock, this.timings().recordMs, signal);
    });
  }

  private runReadLoop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    return runLoop({ place: 'records.read', clock, signal }, async () => {
      await sleep(clock, this.timings().recordReadMs, signal);
      if (!signal.aborted) await this.read();
    });
  }

  private async read(): Promise<void> {
    const { store, kind, clock, roster } = this.options;
    const startedAt = clock.now();
    const read = await store.snapshot(kind, roster.isKnown() ? 'any' : 'newest');
    this.recordContact(read.isErr() ? read.error : undefined, startedAt);
    if (read.isOk()) this.applyRecords(read.value.objects);
  }

  private recordContact(problem: PlatformError | undefined, startedAt: Millis): void {
    const { clock, contact } = this.options;
    if (problem === undefined) contact.recordResponse(clock.now());
    else contact.recordFailure(problem, startedAt, clock.now());
  }

  private applyRecords(objects: readonly StoredObject[]): void {
    const { store, kind, clock, roster, onPeersChange } = this.options;
    const records = objects.flatMap((object) => {
      const record = this.readRecord(object);
      return record === undefined ? [] : [{ record, version: object.version }];
    });
    roster.update(records, clock.now());
    records.forEach(({ record }) =>
      contain('records.quarantine', () => this.readQuarantine(record)),
    );
    roster.getExpired().forEach(({ host, version }) => {
      log('host_forgotten', { host });
      runInBackground('records.remove', async () => store.remove(kind, host, version));
    });
    const peers = roster.getPeers();
    const before = this.peers;
    if (before === undefined) this.recordEarlierProcess(records.map(({ record }) => record));
    else if (peers.join() === before.join()) return;
    log('sharers', { before: (before?.length ?? 0) + 1, now: peers.length + 1 });
    this.peers = peers;
    onPeersChange(peers);
  }

  private recordEarlierProcess(records: readonly HostRecord[]): void {
    const { identity, incarnation, onEarlierProcess } = this.options;
    const own = records.find(({ host }) => host === identity.host);
    if (own !== undefined && own.incarnation !== incarnation) onEarlierProcess(own.incarnation);
  }

  /** Reads a record; one that is malformed is left out, and logged once for each of its versions. */
  private readRecord(object: StoredObject): HostRecord | undefined {
    const read = contain('records.record', () => readHostRecord(object));
    if (read?.isErr() && this.unreadable.get(object.name) !== object.version) {
      this.unreadable.set(object.name, object.version);
      log('record_unreadable', { host: object.name, problem: read.error });
    }
    return read?.unwrapOr(undefined);
  }

  /** Reads the crashes of a record with their ages now; the clock of its host may be ahead. */
  private readQuarantine({ host, quarantine }: HostRecord): void {
    if (quarantine === undefined) return;
    const sinceMs = Math.max(0, this.options.clock.wall() - quarantine.at);
    const { crashes, shared = [] } = quarantine;
    this.options.onQuarantine(
      [...crashes, ...shared].map((crash) => ({ ...crash, ageMs: crash.ageMs + sinceMs })),
      host,
    );
  }

  private timings(): GossipTimings {
    return gossipTimings(this.options.roster.countHosts());
  }
}
