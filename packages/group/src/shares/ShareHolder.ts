import type { Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import {
  chargeTokens,
  estimateDemand,
  applyGrant,
  type HeldShare,
  expireShare,
  createHeldShare,
  accrueShare,
  refundTokens,
  createReport,
  addDemand,
} from './HeldShare.ts';
import type { ShareReply, ShareSync } from './ShareMessage.ts';
import { NEW_COORDINATOR_SYNC_STATE, type CoordinatorSyncState } from './CoordinatorSyncState.ts';
import { isSameRate, SHARE_RULES, type ShareRules, type ShareSettings } from './ShareSettings.ts';

/** Gets the key of a team's coordinator under the newest epoch that this host knows. */
export type CoordinatorLookup = (team: TeamId) => string | undefined;

/** Result of a charge. */
export type ChargeOutcome =
  | { readonly type: 'charged' }
  | { readonly type: 'short'; readonly lack: Tokens }
  | { readonly type: 'no_grant' }
  | { readonly type: 'unknown_team' };

/** State of a {@link ShareHolder} as plain values, which the model checker can copy. */
export interface ShareHolderState {
  readonly held: ReadonlyMap<TeamId, HeldShare>;
  readonly pairs: ReadonlyMap<string, CoordinatorSyncState>;
  readonly dirty: ReadonlySet<TeamId>;
  readonly unlisted: ReadonlyMap<string, ReadonlySet<TeamId>>;
}

/**
 * The shares that one host holds of all teams, without I/O.
 *
 * A share is valid for the TTL of its coordinator's last reply, counted on this host's clock from
 * when the request was sent: a partitioned or paused host thus stops using the share before its
 * coordinator grants it to another host.
 */
export class ShareHolder {
  private readonly settings: ShareSettings;

  private readonly rules: ShareRules;

  private rates: ReadonlyMap<TeamId, TeamRate> = new Map();

  private readonly held = new Map<TeamId, HeldShare>();

  private readonly pairs = new Map<string, CoordinatorSyncState>();

  private readonly dirty = new Set<TeamId>();

  private readonly unlisted = new Map<string, Set<TeamId>>();

  constructor(settings: ShareSettings, rules: ShareRules = SHARE_RULES) {
    this.settings = settings;
    this.rules = rules;
  }

  /** Creates an independent copy. */
  fork(): ShareHolder {
    const copy = new ShareHolder(this.settings, this.rules);
    copy.rates = this.rates;
    this.held.forEach((held, team) => copy.held.set(team, held));
    this.pairs.forEach((pair, key) => copy.pairs.set(key, pair));
    this.dirty.forEach((team) => copy.dirty.add(team));
    this.unlisted.forEach((teams, key) => copy.unlisted.set(key, new Set(teams)));
    return copy;
  }

  /** Gets the whole state of this holder. */
  get state(): ShareHolderState {
    const { held, pairs, dirty, unlisted } = this;
    return { held, pairs, dirty, unlisted };
  }

  /**
   * Sets the rates in force. Shares are fractions of the rate and stay as they are; tokens up to
   * `now` accrue at the old rates.
   */
  setRates(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    [...this.held.keys()]
      .filter((team) => !isSameRate(this.rates.get(team), rates.get(team)))
      .forEach((team) => this.getHeldShare(team, now));
    this.rates = rates;
    [...this.held.keys()].filter((team) => !rates.has(team)).forEach((team) => this.forget(team));
  }

  /** Gets the expiry of a team's grant, on this host's clock. */
  validUntil(team: TeamId): Millis {
    const held = this.held.get(team);
    if (held?.grantor === undefined) return -Infinity;
    const pair = this.pairs.get(held.grantor);
    return pair !== undefined && pair.epoch === held.epoch ? pair.until : held.fixedExpiryAt;
  }

  /** Gets the held share of a team, accrued and expired at `now`; undefined for unknown teams. */
  getHeldShare(team: TeamId, now: Millis): HeldShare | undefined {
    const rate = this.rates.get(team);
    if (rate === undefined) return undefined;
    const held = this.held.get(team) ?? createHeldShare(now);
    // After a pause, another host may have the share by now; without this check both would admit
    // requests on it.
    const isExpired = this.rules.checksExpiry && held.share > 0 && now >= this.validUntil(team);
    const next = isExpired ? expireShare(held, now) : accrueShare(held, rate, this.settings, now);
    if (isExpired) this.dirty.add(team);
    this.held.set(team, next);
    return next;
  }

  /**
   * Charges a request to a team.
   *
   * @param team - The team.
   * @param tokens - Prompt tokens plus the output limit.
   * @param now - Time on this host's clock.
   * @returns Whether the request was charged, or how many tokens are missing.
   */
  charge(team: TeamId, tokens: Tokens, now: Millis): ChargeOutcome {
    const held = this.getHeldShare(team, now);
    if (held === undefined) return { type: 'unknown_team' };
    this.dirty.add(team);
    const next = chargeTokens(held, tokens);
    if (next !== undefined) {
      this.held.set(team, next);
      return { type: 'charged' };
    }
    if (held.share === 0) return { type: 'no_grant' };
    return { type: 'short', lack: Math.ceil(tokens - held.bucket.level) };
  }

  /** Adds a request to the demand of its team, so that shares move to where there is demand. */
  recordDemand(team: TeamId, tokens: Tokens, now: Millis): void {
    const held = this.getHeldShare(team, now);
    if (held !== undefined) this.held.set(team, addDemand(held, tokens, this.settings, now));
  }

  /** Refunds the tokens that a charged request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    const held = this.getHeldShare(team, now);
    const rate = this.rates.get(team);
    if (held === undefined || rate === undefined) return;
    this.held.set(team, refundTokens(held, tokens, rate));
    this.dirty.add(team);
  }

  /**
   * Drops all shares after this host was out of the group for a while, since its shares may have
   * been granted to other hosts.
   */
  dropAll(now: Millis): void {
    this.held.forEach((held, team) => {
      this.held.set(team, expireShare(held, now));
      this.dirty.add(team);
    });
  }

  /** Marks all held shares to be reported to the coordinators of a new epoch. */
  handleEpochChange(): void {
    this.held.forEach((held, team) => {
      if (held.everHeld) this.dirty.add(team);
    });
    this.pairs.forEach((pair, key) => this.pairs.set(key, { ...pair, lastListedSession: 0 }));
  }

  /**
   * Lends tokens for a request of another host, but keeps a reserve for this host's own demand.
   * Lent tokens count as spent at once, whether or not the other host uses them.
   *
   * @returns The number of tokens lent.
   */
  lend(team: TeamId, tokens: Tokens, now: Millis): Tokens {
    const held = this.getHeldShare(team, now);
    if (held === undefined) return 0;
    const keep = (estimateDemand(held, this.settings, now) * this.settings.lendReserveMs) / 1000;
    const lent = Math.floor(Math.max(0, Math.min(tokens, held.bucket.level - keep)));
    const next = chargeTokens(held, lent);
    if (next !== undefined) this.held.set(team, next);
    return next === undefined ? 0 : lent;
  }

  /**
   * Charges a request to borrowed tokens first, then to the bucket; borrowed tokens left over go
   * into the bucket, up to the capacity of the share.
   *
   * @returns Whether there were enough tokens.
   */
  chargeWithBorrowed(team: TeamId, tokens: Tokens, borrowed: Tokens, now: Millis): boolean {
    const held = this.getHeldShare(team, now);
    const rate = this.rates.get(team);
    if (held === undefined || rate === undefined) return false;
    const next = chargeTokens(held, Math.max(0, tokens - borrowed));
    if (next === undefined) return false;
    this.held.set(team, refundTokens(next, Math.max(0, borrowed - tokens), rate));
    return true;
  }

  /** Marks a team to be reported. */
  markDirty(team: TeamId, now: Millis): void {
    if (this.getHeldShare(team, now) !== undefined) this.dirty.add(team);
  }

  /** Tells whether returned tokens of a team have yet to be reported. */
  hasUnreportedReturn(team: TeamId): boolean {
    return this.held.get(team)?.given !== undefined;
  }

  /** Tells whether some held share has yet to be reported to a coordinator. */
  hasUnreportedShares(coordinator: string): boolean {
    const pair = this.pairs.get(coordinator);
    if (pair !== undefined && pair.lastListedSession < pair.session) return true;
    return (this.unlisted.get(coordinator)?.size ?? 0) > 0;
  }

  /** Gets the teams that have something to report. */
  getDirtyTeams(): ReadonlySet<TeamId> {
    return this.dirty;
  }

  /** Gets when the last message to a coordinator was sent; undefined for none. */
  lastSentAt(coordinator: string): Millis | undefined {
    return this.pairs.get(coordinator)?.sentAt;
  }

  /**
   * Creates the next message to a coordinator; replies to earlier ones will be ignored.
   *
   * @param coordinator - Key of the coordinator.
   * @param epoch - Newest epoch that this host knows.
   * @param lookup - Gets each team's coordinator under that epoch.
   * @param now - Time on this host's clock.
   */
  createSync(
    coordinator: string,
    epoch: number,
    lookup: CoordinatorLookup,
    now: Millis,
  ): ShareSync {
    const pair = this.pairs.get(coordinator) ?? NEW_COORDINATOR_SYNC_STATE;
    const unlisted = this.unlisted.get(coordinator) ?? new Set<TeamId>();
    const own = [...new Set([...unlisted, ...this.dirty])].filter(
      (team) => lookup(team) === coordinator && this.rates.has(team),
    );
    const teams = own.slice(0, this.settings.maxTeamsPerMessage);
    const isListed = own.length <= teams.length && pair.session > 0;
    const reports = teams.map((team) => this.report(team, coordinator, now));
    teams.forEach((team) => this.dirty.delete(team));
    const lastSync = pair.lastSync + 1;
    const listedSession = isListed ? pair.session : 0;
    this.pairs.set(coordinator, {
      ...pair,
      ...{ lastSync, sentAt: now, reportedTeams: teams, lastListedSession: listedSession },
    });
    const { acked, session } = pair;
    return { sync: lastSync, acked, epoch, session, listedSession, reports };
  }

  /** Marks the teams of the last message to be reported again, since it got no reply. */
  handleSyncFailure(coordinator: string): void {
    const pair = this.pairs.get(coordinator);
    if (pair === undefined) return;
    pair.reportedTeams.forEach((team) => this.dirty.add(team));
    this.pairs.set(coordinator, { ...pair, lastListedSession: 0 });
  }

  /**
   * Applies a coordinator's reply; a reply to any but the last message is ignored.
   *
   * @returns The grants that were applied.
   */
  applyReply(
    coordinator: string,
    reply: ShareReply,
    lookup: CoordinatorLookup,
    now: Millis,
  ): readonly ShareReply['grants'][number][] {
    const pair = this.pairs.get(coordinator);
    if (pair === undefined || reply.sync !== pair.lastSync || reply.sync === pair.acked) return [];
    if (reply.epoch < pair.epoch) return [];
    if (reply.epoch > pair.epoch) this.freeze(coordinator, pair.until);
    const until = Math.max(pair.until, pair.sentAt + reply.ttlMs);
    const { session } = reply;
    this.pairs.set(coordinator, { ...pair, acked: reply.sync, epoch: reply.epoch, until, session });
    this.relist(coordinator, session > pair.session || reply.epoch > pair.epoch, pair, lookup);
    reply.declined.forEach((team) => this.dirty.add(team));
    const ours = reply.grants.filter((grant) => lookup(grant.team) === coordinator);
    return ours.filter((grant) => this.receiveGrant(coordinator, reply, grant, pair, now));
  }

  private forget(team: TeamId): void {
    this.held.delete(team);
    this.dirty.delete(team);
  }

  private report(team: TeamId, coordinator: string, now: Millis): ShareSync['reports'][number] {
    const held = this.getHeldShare(team, now) as HeldShare;
    // Tokens returned to an earlier coordinator are lost, since it may have counted them or not.
    const hasMoved = held.grantor !== undefined && held.grantor !== coordinator;
    return createReport(team, hasMoved ? { ...held, given: undefined } : held, this.settings, now);
  }

  /** Fixes the expiry of grants of an earlier epoch, which later replies must not extend. */
  private freeze(coordinator: string, until: Millis): void {
    this.held.forEach((held, team) => {
      const pair = this.pairs.get(coordinator);
      if (held.grantor !== coordinator || pair?.epoch !== held.epoch) return;
      this.held.set(team, { ...held, fixedExpiryAt: until });
      this.dirty.add(team);
    });
  }

  private relist(
    coordinator: string,
    all: boolean,
    pair: CoordinatorSyncState,
    lookup: CoordinatorLookup,
  ): void {
    const kept = this.unlisted.get(coordinator) ?? new Set<TeamId>();
    pair.reportedTeams.forEach((team) => kept.delete(team));
    if (all) {
      this.held.forEach((held, team) => {
        if (held.everHeld && lookup(team) === coordinator) kept.add(team);
      });
    }
    this.unlisted.set(coordinator, kept);
  }

  private receiveGrant(
    grantor: string,
    reply: ShareReply,
    grant: ShareReply['grants'][number],
    pair: CoordinatorSyncState,
    now: Millis,
  ): boolean {
    const rate = this.rates.get(grant.team);
    const held = this.getHeldShare(grant.team, now);
    if (rate === undefined || held === undefined) return false;
    const wasReported = pair.reportedTeams.includes(grant.team);
    const base = wasReported ? { ...held, given: undefined } : held;
    const next = applyGrant(base, grant, rate, reply.sync);
    this.held.set(grant.team, { ...next, grantor, epoch: reply.epoch });
    if (next.given !== undefined || next.share < held.share) this.dirty.add(grant.team);
    return true;
  }
}
