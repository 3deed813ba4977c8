import type { Clock, HostId, Millis, ModelId } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { EngineUse, RateTolerance, RepeatAllowance, WordPace } from '@camphorvane/decisions';
import { RepeatBudget, wordPace } from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { EngineHint, HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import type {
  StoredObject,
  WatchableStore,
  DeploymentFormat,
  FollowMode,
} from '@camphorvane/store';
import { OwnRecord } from '@camphorvane/store';
import type { GroupGate, GroupMate, RepeatGate, Unsubscribe } from '../host/ports.ts';
import { LocalPlacer } from '../placing/LocalPlacer.ts';
import { stateLog } from '../observe/StateLog.ts';
import { CrashDesk } from '../serving/CrashDesk.ts';
import { serviceRepeats } from '../serving/teamRepeats.ts';
import { DeploymentFeed } from './DeploymentFeed.ts';
import { SharedRates } from './SharedRates.ts';
import type { AgreementContext, AgreementFactory, HostAgreement } from './HostAgreement.ts';
import type { HostRecord } from './hostRecord.ts';
import { readHostRecord } from './hostRecord.ts';
import { HostRoster } from './HostRoster.ts';
import { PeerTalk } from './PeerTalk.ts';
import type { OwnWord } from './PeerTalk.ts';

/** Part of the time between two writes of a record after which all are read; old answers will do. */
const RECORDS_READ_PART = 1 / 3;

/** Upstreams that one request must crash to be held back: with fewer, chance would do it. */
const CRASHES_TO_HOLD_BACK = 3;

/** Milliseconds for which such a request is held back; its caller sends it for some seconds. */
const HOLD_BACK_MS: Millis = 60_000;

const log = stateLog('hosts');

/** What hosts that share nothing but a store are made of. */
export interface StoreAgreementOptions {
  readonly store: WatchableStore;
  readonly format: DeploymentFormat;
  readonly hints: HintLink;
  /** See {@link HostRecord.strength}. */
  readonly strength: number;
  readonly tolerance: RateTolerance;
  readonly repeats: RepeatAllowance;
  /** See {@link DeploymentFeed}; also whether requests end when their key is withdrawn. */
  readonly strictKeysMs: Millis | undefined;
}

/**
 * Hosts that each act on their own knowledge, with the store as the only common truth.
 *
 * Nobody coordinates, so no host's death, freeze or cut makes others wait. Each places on engines by
 * itself, charges rates by what all have charged, and tells the others what it has and has charged.
 */
export class StoreAgreement implements HostAgreement, GroupGate {
  readonly config: DeploymentFeed;

  readonly group: GroupGate = this;

  readonly rates: SharedRates;

  readonly repeats: RepeatGate;

  readonly placer: LocalPlacer;

  readonly crashes: CrashDesk;

  readonly claims = undefined;

  readonly endsWithdrawn: boolean;

  private readonly options: StoreAgreementOptions;

  private readonly context: AgreementContext;

  private readonly clock: Clock;

  private readonly hosts: HostRoster;

  private readonly record: OwnRecord;

  private readonly listeners = new Set<() => void>();

  private leaving = false;

  private readonly talk: PeerTalk;

  private sharers: readonly HostId[] = [];

  /**
   * @param options - The store and the bounds that hold for all hosts together.
   * @param context - This host.
   */
  constructor(options: StoreAgreementOptions, context: AgreementContext) {
    this.options = options;
    this.context = context;
    const { clock, random, identity, incarnation, directory } = context;
    const { store, format } = options;
    this.clock = clock;
    this.endsWithdrawn = options.strictKeysMs !== undefined;
    this.config = new DeploymentFeed({
      store,
      format,
      clock,
      random,
      strictKeysMs: options.strictKeysMs,
      mode: () => this.followMode(),
    });
    this.hosts = new HostRoster(identity.host, identity.zone);
    this.record = new OwnRecord(store, format.hostKind, identity.host);
    const sharers = (): number => this.hosts.countSharers();
    this.rates = new SharedRates(clock, options.tolerance);
    this.repeats = serviceRepeats(new RepeatBudget(options.repeats, sharers));
    this.placer = new LocalPlacer(clock, random, directory, incarnation);
    this.crashes = new CrashDesk({
      self: identity.host,
      clock,
      group: this,
      suspicion: { crashes: CRASHES_TO_HOLD_BACK, memoryMs: HOLD_BACK_MS },
    });
    this.talk = new PeerTalk({
      self: identity.host,
      incarnation,
      clock,
      link: options.hints,
      roster: this.hosts,
      word: () => this.ownWord(),
      newsMark: () => this.newsMark(),
      onHint: (hint) => this.hear(hint),
      onDigest: (digest) => this.hearSum(digest),
    });
  }

  /** {@inheritDoc HostAgreement.start} */
  start(signal: AbortSignal): void {
    this.config.start(signal);
    void this.keepRecord(signal);
    void this.readRecords(signal);
    this.talk.start(signal);
  }

  /** Tells whether this host knows enough to serve callers. */
  isReady(): boolean {
    return this.config.current() !== undefined && this.hosts.isKnown();
  }

  /** {@inheritDoc HostAgreement.beginLeaving} */
  async beginLeaving(): Promise<void> {
    this.leaving = true;
    this.talk.sendNow();
    await this.writeRecord();
  }

  /** {@inheritDoc HostAgreement.leave} */
  async leave(): Promise<void> {
    this.talk.sendNow();
  }

  /** Ends everything; tasks end with their signal. */
  stop(): void {
    this.listeners.clear();
  }

  /** Hosts that share a store ask each other nothing. */
  async answer(): Promise<PeerResponse> {
    return { type: 'not_steward', epoch: 0 };
  }

  /** {@inheritDoc HostAgreement.getCoordinated} */
  getCoordinated(): readonly ModelId[] {
    return [];
  }

  /** {@inheritDoc HostAgreement.getEpoch} */
  getEpoch(): number {
    return 0;
  }

  /** {@inheritDoc GroupGate.members} */
  members(): readonly GroupMate[] {
    const self = { ...this.context.identity, leaving: this.leaving };
    const mates = this.hosts.getMates(this.clock.now());
    return [self, ...mates.filter((mate) => mate.host !== self.host)];
  }

  /** Nobody coordinates. */
  stewardOf(): undefined {
    return undefined;
  }

  /** Nobody coordinates. */
  maySteward(): boolean {
    return false;
  }

  /** A share that is this host's own may always be used. */
  mayAct(): boolean {
    return true;
  }

  /** {@inheritDoc GroupGate.waitToAct} */
  async waitToAct(): Promise<void> {
    // There is nothing to wait for.
  }

  /** {@inheritDoc GroupGate.onChange} */
  onChange(changed: () => void): Unsubscribe {
    this.listeners.add(changed);
    return () => this.listeners.delete(changed);
  }

  /** {@inheritDoc HostAgreement.dump} */
  dump(): object {
    return {
      hosts: this.hosts.getMates(this.clock.now()).map((mate) => mate.host),
      sharers: this.hosts.countSharers(),
      rates: this.rates.dump(),
      placing: this.placer.dump(),
    };
  }

  private async keepRecord(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.writeRecord();
      await sleep(this.clock, this.pace().recordMs, signal);
    }
  }

  private async writeRecord(): Promise<void> {
    const { identity, incarnation } = this.context;
    const { strength } = this.options;
    const record: HostRecord = { ...identity, incarnation, leaving: this.leaving, strength };
    // The beat makes each write a change, by which others see that this host lives.
    const problem = await this.record.write({ ...record, beat: Math.round(this.clock.now()) });
    if (problem !== undefined) log('record_not_written', { reason: problem.type });
  }

  private async readRecords(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const freshness = this.hosts.isKnown() ? 'any' : 'newest';
      const read = await this.options.store.snapshot(this.options.format.hostKind, freshness);
      if (read.isOk()) this.takeRecords(read.value.objects);
      await sleep(this.clock, this.pace().recordMs * RECORDS_READ_PART, signal);
    }
  }

  private takeRecords(objects: readonly StoredObject[]): void {
    const records = objects
      .map((object) => ({ record: readHostRecord(object), version: object.version }))
      .flatMap(({ record, version }) => (record === undefined ? [] : [{ record, version }]));
    this.hosts.update(records, this.clock.now());
    this.hosts.getExpired().forEach(({ host, version }) => {
      log('host_forgotten', { host });
      void this.options.store.remove(this.options.format.hostKind, host, version);
    });
    const sharers = this.hosts.getOthers();
    if (sharers.join() === this.sharers.join()) return;
    log('sharers', { before: this.sharers.length + 1, now: sharers.length + 1 });
    this.sharers = sharers;
    this.rates.setSharers(sharers);
    this.listeners.forEach((changed) => changed());
  }

  /** Changes with each placed request and each change of the store that this host has learned. */
  private newsMark(): string {
    const { config, servers } = this.config.getVersions();
    return `${this.placer.getPlacedCount()} ${config} ${servers}`;
  }

  private pace(): WordPace {
    return wordPace(this.hosts.countSharers());
  }

  /** A few hosts watch; the others are told by them, and read now and then. */
  private followMode(): FollowMode {
    return !this.pace().isRelayed || this.hosts.isRelay(this.clock.now()) ? 'watch' : 'poll';
  }

  private ownWord(): OwnWord {
    return {
      leaving: this.leaving,
      engines: [...this.placer.getUse()].map(([engine, use]) => ({ engine, ...use })),
      charged: this.rates.getCharged(),
      versions: this.config.getVersions(),
    };
  }

  private hear(hint: HostHint): void {
    this.hosts.hear(hint.host, hint.leaving, this.clock.now());
    this.rates.hear(hint);
    this.config.hearOf(hint.versions);
    this.placer.hear(hint.host, usesOf(hint.engines));
  }

  private hearSum(digest: HostDigest): void {
    this.hosts.hearAll(digest, this.clock.now());
    this.rates.hearSum(digest);
    this.config.hearOf(digest.versions);
    this.placer.hearSum(usesOf(digest.engines), digest.heard);
  }
}

function usesOf(engines: readonly EngineHint[]): ReadonlyMap<string, EngineUse> {
  return new Map(engines.map(({ engine, ...use }): [string, EngineUse] => [engine, use]));
}

/**
 * Gets the factory of an agreement over a store.
 *
 * @param options - The store and the bounds.
 * @param made - Told of the agreement, whose readiness the edges ask for.
 * @returns The factory.
 */
export function storeAgreement(
  options: StoreAgreementOptions,
  made: (agreement: StoreAgreement) => void,
): AgreementFactory {
  return (context) => {
    const agreement = new StoreAgreement(options, context);
    made(agreement);
    return agreement;
  };
}
