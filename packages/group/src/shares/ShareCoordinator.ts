import type { Millis, TeamId, TeamRate } from '@camphorvane/core';
import { allocate, type AllocationContext } from './allocation.ts';
import { type HolderSyncState, NEW_HOLDER_SYNC_STATE } from './HolderSyncState.ts';
import type { ShareReply, ShareSync, TeamGrant, TeamReport } from './ShareMessage.ts';
import { isSameRate, SHARE_RULES, type ShareRules, type ShareSettings } from './ShareSettings.ts';
import { mergeNudges, type ShareNudge } from './ShareNudge.ts';
import type { CoordinatorContext } from './CoordinatorContext.ts';
import {
  createEmptyEntry,
  openFirstLedger,
  openRecoveringLedger,
  applyReport,
  accrueLedger,
  settlePendingGrant,
  type TeamLedger,
  withEntry,
  withoutHolder,
  withRecoveryEnded,
} from './TeamLedger.ts';
import { PendingRebalances } from './PendingRebalances.ts';

/** Reply to a holder, and the holders that should report at once. */
export interface ShareSyncResult {
  readonly reply: ShareReply;
  readonly nudges: readonly ShareNudge[];
}

/** Keeps the ledgers of the teams that this host coordinates, without I/O. */
export class ShareCoordinator {
  private readonly settings: ShareSettings;

  private readonly rules: ShareRules;

  private rates: ReadonlyMap<TeamId, TeamRate> = new Map();

  private readonly ledgers = new Map<TeamId, TeamLedger>();

  private readonly pairs = new Map<string, HolderSyncState>();

  private readonly recovering = new Set<TeamId>();

  /** Teams whose shares may be far from their targets at holders that do not report them. */
  private pendingRebalances = new PendingRebalances();

  private session = 1;

  private membersKey = '';

  constructor(settings: ShareSettings, rules: ShareRules = SHARE_RULES) {
    this.settings = settings;
    this.rules = rules;
  }

  /** Creates an independent copy. */
  fork(): ShareCoordinator {
    const copy = new ShareCoordinator(this.settings, this.rules);
    copy.rates = this.rates;
    copy.session = this.session;
    copy.membersKey = this.membersKey;
    this.ledgers.forEach((ledger, team) => copy.ledgers.set(team, ledger));
    this.pairs.forEach((pair, key) => copy.pairs.set(key, pair));
    this.recovering.forEach((team) => copy.recovering.add(team));
    copy.pendingRebalances = this.pendingRebalances.fork();
    return copy;
  }

  /** Sets the rates in force; tokens up to `now` accrue at the old rates. */
  setRates(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    this.ledgers.forEach((ledger, team) => {
      const old = this.rates.get(team);
      if (old === undefined || isSameRate(old, rates.get(team))) return;
      this.ledgers.set(team, accrueLedger(ledger, old, this.settings, now));
    });
    this.rates = rates;
  }

  /** Gets all state that decides what this coordinator does next, as plain values. */
  get state(): unknown {
    const { ledgers, pairs, recovering, pendingRebalances, session } = this;
    return [[...ledgers], [...pairs], [...recovering], pendingRebalances.state, session];
  }

  /** Gets the ledgers, for a dump. */
  get accounts(): ReadonlyMap<TeamId, TeamLedger> {
    return this.ledgers;
  }

  /**
   * Handles a message of a holder.
   *
   * @param holder - Key of the holder.
   * @param sync - The message.
   * @param ctx - Present state of the group.
   * @param now - Time on this host's clock.
   * @returns The reply; undefined for a message that arrived after a later one.
   */
  handleSync(
    holder: string,
    sync: ShareSync,
    ctx: CoordinatorContext,
    now: Millis,
  ): ShareSyncResult | undefined {
    this.expire(now);
    const pair = this.pairs.get(holder) ?? NEW_HOLDER_SYNC_STATE;
    if (sync.sync <= pair.lastSync) return undefined;
    this.trackMembers(ctx);
    this.settlePending(holder, pair, sync, now);
    const sessionBefore = this.session;
    this.pairs.set(holder, {
      lastSync: sync.sync,
      repliedAt: now,
      listedSession: Math.max(pair.listedSession, sync.listedSession),
      listedEpoch: sync.listedSession > 0 ? sync.epoch : pair.listedEpoch,
      pending: [],
    });
    const reports = sync.reports.filter((report) => this.rates.has(report.team));
    const declined = reports.filter((report) => !this.ensureLedger(report.team, ctx, now));
    const accepted = reports.filter((report) => !declined.includes(report));
    const results = accepted.map((report) => this.handleReport(holder, report, sync, ctx, now));
    this.endRecoveries(ctx, now);
    const extra = this.rebalanceUnreported(
      holder,
      new Set(reports.map((report) => report.team)),
      ctx,
      now,
    );
    const grants = [...results.flatMap((result) => result.grants), ...extra];
    this.trackPending(holder, grants);
    const nudgedMembers = this.session > sessionBefore ? ctx.members : [];
    const nudges = mergeNudges(
      results.flatMap((result) => result.nudges),
      nudgedMembers,
    );
    const declinedTeams = declined.map((report) => report.team);
    const reply = this.replyTo(sync, ctx, grants, declinedTeams);
    return { reply, nudges: nudges.filter((nudge) => nudge.holder !== holder) };
  }

  /**
   * Opens the ledger of a team if this host may coordinate it, so that the shares of an idle team
   * are spread over the members before its first request.
   */
  ensureTeam(team: TeamId, ctx: CoordinatorContext, now: Millis): void {
    if (this.rates.has(team)) this.ensureLedger(team, ctx, now);
  }

  private replyTo(
    { sync }: ShareSync,
    { epoch }: CoordinatorContext,
    grants: readonly TeamGrant[],
    declined: readonly TeamId[],
  ): ShareReply {
    const { session } = this;
    return { sync, epoch, session, ttlMs: this.settings.ttlMs, grants, declined };
  }

  /** Frees the shares of holders whose grants must have expired. */
  private expire(now: Millis): void {
    const expiryWaitMs = this.rules.expiryWait(this.settings);
    const expired = [...this.pairs].filter(([, pair]) => now > pair.repliedAt + expiryWaitMs);
    expired.forEach(([holder]) => {
      this.ledgers.forEach((ledger, team) => this.freeShare(team, ledger, holder, now));
      this.pairs.set(holder, {
        ...(this.pairs.get(holder) ?? NEW_HOLDER_SYNC_STATE),
        repliedAt: Infinity,
      });
    });
  }

  private freeShare(team: TeamId, ledger: TeamLedger, holder: string, now: Millis): void {
    if (ledger.entries[holder] === undefined) return;
    const rate = this.rates.get(team);
    const base = rate === undefined ? ledger : accrueLedger(ledger, rate, this.settings, now);
    this.ledgers.set(team, withoutHolder(base, holder));
    this.pendingRebalances.addForAll(team);
  }

  private trackMembers(ctx: CoordinatorContext): void {
    const key = ctx.members.join(' ');
    if (key === this.membersKey) return;
    this.membersKey = key;
    this.pendingRebalances.reset(ctx.members, [...this.ledgers.keys()]);
  }

  private settlePending(holder: string, pair: HolderSyncState, sync: ShareSync, now: Millis): void {
    const applied = sync.acked === pair.lastSync;
    pair.pending.forEach((team) => {
      const ledger = this.ledgers.get(team);
      const rate = this.rates.get(team);
      if (ledger === undefined || rate === undefined) return;
      const fresh = accrueLedger(ledger, rate, this.settings, now);
      this.ledgers.set(team, settlePendingGrant(fresh, holder, applied, rate));
    });
  }

  /** Opens or keeps the ledger of a team; returns false if this host may not coordinate it. */
  private ensureLedger(team: TeamId, ctx: CoordinatorContext, now: Millis): boolean {
    if (!ctx.mayCoordinate(team)) return false;
    const known = this.ledgers.get(team);
    if (known === undefined) this.open(team, ctx, now);
    else if (known.epoch !== ctx.epoch) {
      // Another coordinator may have granted meanwhile what this ledger still counts as free.
      if (ctx.isCoordinatorThroughout(team, known.epoch)) {
        this.ledgers.set(team, { ...known, epoch: ctx.epoch });
      } else this.open(team, ctx, now);
    }
    return true;
  }

  private open(team: TeamId, ctx: CoordinatorContext, now: Millis): void {
    const rate = this.rates.get(team) as TeamRate;
    this.session += 1;
    if (ctx.isFirstEpoch) {
      this.ledgers.set(team, openFirstLedger(team, this.session, ctx.epoch, rate, now));
    } else {
      const until = now + this.rules.expiryWait(this.settings);
      this.ledgers.set(team, openRecoveringLedger(team, this.session, ctx.epoch, until, now));
      this.recovering.add(team);
    }
    this.pendingRebalances.addForAll(team);
  }

  private handleReport(
    holder: string,
    report: TeamReport,
    sync: ShareSync,
    ctx: CoordinatorContext,
    now: Millis,
  ): { readonly grants: readonly TeamGrant[]; readonly nudges: readonly ShareNudge[] } {
    const { team } = report;
    const rate = this.rates.get(team) as TeamRate;
    const base = this.ledgers.get(team) as TeamLedger;
    const fresh = accrueLedger(base, rate, this.settings, now);
    const record = applyReport(fresh, holder, report, sync.session, rate, now);
    this.ledgers.set(team, record.ledger);
    if (record.verdict === 'present_again') return { grants: [], nudges: [] };
    if (this.endsRecovery(record.ledger, ctx, now)) this.endRecovery(team, ctx, now);
    const allocation = this.allocate(team, holder, ctx, now);
    const isVoid = record.verdict === 'void';
    const grant = isVoid ? { ...allocation.grant, reset: true } : allocation.grant;
    const nudges = allocation.givers.map((key) => ({ holder: key, teams: [team] }));
    return { grants: [grant], nudges };
  }

  private allocate(
    team: TeamId,
    holder: string,
    ctx: CoordinatorContext,
    now: Millis,
  ): ReturnType<typeof allocate> {
    const ledger = this.ledgers.get(team) as TeamLedger;
    const allocation = allocate(ledger, holder, this.contextOf(team, ctx, now));
    this.ledgers.set(team, allocation.ledger);
    this.pendingRebalances.remove(holder, team);
    if (allocation.grant.share < (ledger.entries[holder]?.share ?? 0))
      this.pendingRebalances.addForAll(team);
    return allocation;
  }

  private contextOf(team: TeamId, ctx: CoordinatorContext, now: Millis): AllocationContext {
    const { settings, rules } = this;
    return { rate: this.rates.get(team) as TeamRate, settings, rules, members: ctx.members, now };
  }

  /** Rebalances teams that a holder does not report: idle ones after a change of members. */
  private rebalanceUnreported(
    holder: string,
    reported: ReadonlySet<TeamId>,
    ctx: CoordinatorContext,
    now: Millis,
  ): readonly TeamGrant[] {
    const teams = this.pendingRebalances.getTeams(holder).filter((team) => !reported.has(team));
    return teams.slice(0, this.settings.maxTeamsPerMessage).flatMap((team) => {
      this.pendingRebalances.remove(holder, team);
      const ledger = this.ledgers.get(team);
      if (ledger === undefined || !this.rates.has(team)) return [];
      if (!this.ensureLedger(team, ctx, now)) return [];
      return this.rebalance(team, holder, ctx, now);
    });
  }

  private rebalance(
    team: TeamId,
    holder: string,
    ctx: CoordinatorContext,
    now: Millis,
  ): readonly TeamGrant[] {
    const rate = this.rates.get(team) as TeamRate;
    const ledger = accrueLedger(this.ledgers.get(team) as TeamLedger, rate, this.settings, now);
    const known = ledger.entries[holder];
    if (known === undefined && ledger.recoveringUntil !== undefined) return [];
    this.ledgers.set(team, withEntry(ledger, holder, known ?? createEmptyEntry(now)));
    const { grant } = this.allocate(team, holder, ctx, now);
    const isSame = grant.share === (known?.share ?? 0) && grant.tokens === 0;
    return isSame ? [] : [grant];
  }

  private trackPending(holder: string, grants: readonly TeamGrant[]): void {
    const pair = this.pairs.get(holder) ?? NEW_HOLDER_SYNC_STATE;
    const pending = grants
      .filter(({ team }) => this.ledgers.get(team)?.entries[holder]?.pending !== undefined)
      .map((grant) => grant.team);
    this.pairs.set(holder, { ...pair, pending });
  }

  private endsRecovery(ledger: TeamLedger, ctx: CoordinatorContext, now: Millis): boolean {
    if (ledger.recoveringUntil === undefined) return false;
    return now > ledger.recoveringUntil || this.allListed(ledger, ctx);
  }

  private allListed(ledger: TeamLedger, ctx: CoordinatorContext): boolean {
    // No unreported share can be left once every possible holder has listed its shares.
    return (
      ctx.possibleHolders?.every((key) => {
        const pair = this.pairs.get(key);
        if (pair === undefined || pair.listedEpoch !== ctx.epoch) return false;
        return pair.listedSession >= ledger.session;
      }) ?? false
    );
  }

  private endRecoveries(ctx: CoordinatorContext, now: Millis): void {
    [...this.recovering]
      .filter((team) => {
        const ledger = this.ledgers.get(team);
        return ledger === undefined || this.endsRecovery(ledger, ctx, now);
      })
      .forEach((team) => this.endRecovery(team, ctx, now));
  }

  private endRecovery(team: TeamId, ctx: CoordinatorContext, now: Millis): void {
    this.recovering.delete(team);
    const ledger = this.ledgers.get(team);
    const rate = this.rates.get(team);
    if (ledger === undefined || rate === undefined) return;
    const fresh = accrueLedger(ledger, rate, this.settings, now);
    const isComplete = ctx.isHistoryComplete && this.allListed(fresh, ctx);
    this.ledgers.set(team, withRecoveryEnded(fresh, rate, isComplete));
    this.pendingRebalances.addForAll(team);
  }
}
