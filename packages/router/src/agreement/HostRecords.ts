import type { Clock, HostId, Incarnation } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { GossipTimings } from '@camphorvane/decisions';
import { gossipTimings } from '@camphorvane/decisions';
import type { StoredObject, WatchableStore } from '@camphorvane/store';
import { OwnRecord } from '@camphorvane/store';
import { stateLog } from '../observe/StateLog.ts';
import type { HostRecord } from './hostRecord.ts';
import { readHostRecord } from './hostRecord.ts';
import type { HostRoster } from './HostRoster.ts';

const log = stateLog('hosts');

/** What the records of the hosts are kept with. */
export interface HostRecordsOptions {
  readonly store: WatchableStore;
  /** Kind of the records in the store. */
  readonly kind: string;
  readonly clock: Clock;
  readonly identity: Pick<HostRecord, 'host' | 'zone' | 'callerAddress' | 'peerAddress'>;
  readonly incarnation: Incarnation;
  /** See {@link HostRecord.strength}. */
  readonly strength: number;
  /** Takes in all records. */
  readonly roster: HostRoster;
  readonly isLeaving: () => boolean;
  /** Told of the other hosts with a record, whenever they change. */
  readonly onSharers: (others: readonly HostId[]) => void;
}

/** Keeps the record of this host in the store, reads those of the others, and removes dead ones. */
export class HostRecords {
  private readonly options: HostRecordsOptions;

  private readonly own: OwnRecord;

  private sharers: readonly HostId[] = [];

  /** @param options - What they are kept with. */
  constructor(options: HostRecordsOptions) {
    this.options = options;
    this.own = new OwnRecord(options.store, options.kind, options.identity.host);
  }

  /** Writes and reads until stopped. */
  start(signal: AbortSignal): void {
    void this.keep(signal);
    void this.follow(signal);
  }

  /** Writes the record of this host at once. */
  async write(): Promise<void> {
    const { identity, incarnation, strength, clock, isLeaving } = this.options;
    const record: HostRecord = { ...identity, incarnation, leaving: isLeaving(), strength };
    // The beat makes each write a change, by which others see that this host lives.
    const problem = await this.own.write({ ...record, beat: Math.round(clock.now()) });
    if (problem !== undefined) log('record_not_written', { reason: problem.type });
  }

  private async keep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.write();
      await sleep(this.options.clock, this.pace().recordMs, signal);
    }
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { store, kind, clock, roster } = this.options;
    while (!signal.aborted) {
      const read = await store.snapshot(kind, roster.isKnown() ? 'any' : 'newest');
      if (read.isOk()) this.take(read.value.objects);
      await sleep(clock, this.pace().recordReadMs, signal);
    }
  }

  private take(objects: readonly StoredObject[]): void {
    const { store, kind, clock, roster, onSharers } = this.options;
    const records = objects
      .map((object) => ({ record: readHostRecord(object), version: object.version }))
      .flatMap(({ record, version }) => (record === undefined ? [] : [{ record, version }]));
    roster.update(records, clock.now());
    roster.getExpired().forEach(({ host, version }) => {
      log('host_forgotten', { host });
      void store.remove(kind, host, version);
    });
    const sharers = roster.getOthers();
    if (sharers.join() === this.sharers.join()) return;
    log('sharers', { before: this.sharers.length + 1, now: sharers.length + 1 });
    this.sharers = sharers;
    onSharers(sharers);
  }

  private pace(): GossipTimings {
    return gossipTimings(this.options.roster.countSharers());
  }
}
