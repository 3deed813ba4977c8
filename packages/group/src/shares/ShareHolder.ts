import type { Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import {
  charged,
  demandAt,
  granted,
  type HeldShare,
  lapsed,
  nothingHeld,
  refreshed,
  refunded,
  reportOf,
  withDemand,
} from './HeldShare.ts';
import type { ShareReply, ShareSync } from './ShareMessage.ts';
import { NEW_STEWARD_PAIR, type StewardPair } from './StewardPair.ts';
import { sameRate, SHARE_RULES, type ShareRules, type ShareSettings } from './ShareSettings.ts';

/** Gets the key of a team's steward under the newest epoch that this host knows. */
export type StewardLookup = (team: TeamId) => string | undefined;

/** What became of a charge. */
export type ChargeOutcome =
  | { readonly type: 'charged' }
  | { readonly type: 'short'; readonly lack: Tokens }
  | { readonly type: 'no_grant' }
  | { readonly type: 'unknown_team' };

/** What a {@link ShareHolder} knows; plain values, so that a search can copy it. */
export interface ShareHolderState {
  readonly held: ReadonlyMap<TeamId, HeldShare>;
  readonly pairs: ReadonlyMap<string, StewardPair>;
  readonly dirty: ReadonlySet<TeamId>;
  readonly unlisted: ReadonlyMap<string, ReadonlySet<TeamId>>;
}

/**
 * The shares that one host holds of all teams, without any I/O.
 *
 * A share may be used while its steward's last reply is young enough on this host's own clock,
 * counted from when the question was sent: a host that is cut off or was paused stops by itself
 * before its steward gives the share to somebody else.
 */
export class ShareHolder {
  private readonly settings: ShareSettings;

  private readonly rules: ShareRules;

  private rates: ReadonlyMap<TeamId, TeamRate> = new Map();

  private readonly held = new Map<TeamId, HeldShare>();

  private readonly pairs = new Map<string, StewardPair>();

  private readonly dirty = new Set<TeamId>();

  private readonly unlisted = new Map<string, Set<TeamId>>();

  constructor(settings: ShareSettings, rules: ShareRules = SHARE_RULES) {
    this.settings = settings;
    this.rules = rules;
  }

  /** Copies this holder; what happens to one does not touch the other. */
  fork(): ShareHolder {
    const copy = new ShareHolder(this.settings, this.rules);
    copy.rates = this.rates;
    this.held.forEach((held, team) => copy.held.set(team, held));
    this.pairs.forEach((pair, key) => copy.pairs.set(key, pair));
    this.dirty.forEach((team) => copy.dirty.add(team));
    this.unlisted.forEach((teams, key) => copy.unlisted.set(key, new Set(teams)));
    return copy;
  }

  /** Gets all that this holder knows. */
  get state(): ShareHolderState {
    const { held, pairs, dirty, unlisted } = this;
    return { held, pairs, dirty, unlisted };
  }

  /**
   * Sets the rates in force. A share is a part of whatever the rate is, so shares stay; what was
   * earned until now is earned at the old rates.
   */
  setTeams(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    [...this.held.keys()]
      .filter((team) => !sameRate(this.rates.get(team), rates.get(team)))
      .forEach((team) => this.current(team, now));
    this.rates = rates;
    [...this.held.keys()].filter((team) => !rates.has(team)).forEach((team) => this.forget(team));
  }

  /** Gets until when the grant of a team holds, on this clock. */
  validUntil(team: TeamId): Millis {
    const held = this.held.get(team);
    if (held?.steward === undefined) return -Infinity;
    const pair = this.pairs.get(held.steward);
    return pair !== undefined && pair.epoch === held.epoch ? pair.until : held.frozenUntil;
  }

  /** Gets what is held of a team as of now; undefined for a team that does not exist. */
  current(team: TeamId, now: Millis): HeldShare | undefined {
    const rate = this.rates.get(team);
    if (rate === undefined) return undefined;
    const held = this.held.get(team) ?? nothingHeld(now);
    // A paused host wakes up with a grant that somebody else has by now. Without this check it
    // would admit a second time what the other admits.
    const isOver = this.rules.checksExpiry && held.share > 0 && now >= this.validUntil(team);
    const next = isOver ? lapsed(held, now) : refreshed(held, rate, this.settings, now);
    if (isOver) this.dirty.add(team);
    this.held.set(team, next);
    return next;
  }

  /**
   * Charges a team.
   *
   * @param team - The team.
   * @param tokens - Prompt plus allowed output.
   * @param now - This host's clock.
   * @returns Whether it was charged, and how much lacks otherwise.
   */
  charge(team: TeamId, tokens: Tokens, now: Millis): ChargeOutcome {
    const held = this.current(team, now);
    if (held === undefined) return { type: 'unknown_team' };
    this.dirty.add(team);
    const next = charged(held, tokens);
    if (next !== undefined) {
      this.held.set(team, next);
      return { type: 'charged' };
    }
    if (held.share === 0) return { type: 'no_grant' };
    return { type: 'short', lack: Math.ceil(tokens - held.bucket.level) };
  }

  /** Notes that a request asked for tokens, so that shares move to where they are asked for. */
  demand(team: TeamId, tokens: Tokens, now: Millis): void {
    const held = this.current(team, now);
    if (held !== undefined) this.held.set(team, withDemand(held, tokens, this.settings, now));
  }

  /** Puts back what a charged request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    const held = this.current(team, now);
    const rate = this.rates.get(team);
    if (held === undefined || rate === undefined) return;
    this.held.set(team, refunded(held, tokens, rate));
    this.dirty.add(team);
  }

  /**
   * Drops everything held: this host was out of the group for a while, so that others may have
   * counted it out and given its shares on.
   */
  dropAll(now: Millis): void {
    this.held.forEach((held, team) => {
      this.held.set(team, lapsed(held, now));
      this.dirty.add(team);
    });
  }

  /** Presents everything held to the stewards of a new epoch. */
  epochChanged(): void {
    this.held.forEach((held, team) => {
      if (held.everHeld) this.dirty.add(team);
    });
    this.pairs.forEach((pair, key) => this.pairs.set(key, { ...pair, listed: 0 }));
  }

  /**
   * Takes tokens out for a request of another host, leaving what this host's own demand of the
   * next moment needs. They count as spent here and now, whatever becomes of them.
   *
   * @returns How many tokens were taken out.
   */
  lend(team: TeamId, tokens: Tokens, now: Millis): Tokens {
    const held = this.current(team, now);
    if (held === undefined) return 0;
    const keep = (demandAt(held, this.settings, now) * this.settings.keepMs) / 1000;
    const lent = Math.floor(Math.max(0, Math.min(tokens, held.bucket.level - keep)));
    const next = charged(held, lent);
    if (next !== undefined) this.held.set(team, next);
    return next === undefined ? 0 : lent;
  }

  /**
   * Charges a request with the help of borrowed tokens; what is left of them stays, as far as the
   * share has room.
   *
   * @returns True if there were enough.
   */
  chargeWith(team: TeamId, tokens: Tokens, borrowed: Tokens, now: Millis): boolean {
    const held = this.current(team, now);
    const rate = this.rates.get(team);
    if (held === undefined || rate === undefined) return false;
    const next = charged(held, Math.max(0, tokens - borrowed));
    if (next === undefined) return false;
    this.held.set(team, refunded(next, Math.max(0, borrowed - tokens), rate));
    return true;
  }

  /** Marks a team to be reported. */
  touch(team: TeamId, now: Millis): void {
    if (this.current(team, now) !== undefined) this.dirty.add(team);
  }

  /** Tells whether tokens of a team wait to be reported as given back. */
  hasGift(team: TeamId): boolean {
    return this.held.get(team)?.given !== undefined;
  }

  /** Tells whether a steward has not yet heard of everything held. */
  hasUnlisted(steward: string): boolean {
    const pair = this.pairs.get(steward);
    if (pair !== undefined && pair.listed < pair.session) return true;
    return (this.unlisted.get(steward)?.size ?? 0) > 0;
  }

  /** Gets the teams that have something to report. */
  changedTeams(): ReadonlySet<TeamId> {
    return this.dirty;
  }

  /** Gets when the last message to a steward was sent; undefined for none. */
  lastSentAt(steward: string): Millis | undefined {
    return this.pairs.get(steward)?.sentAt;
  }

  /**
   * Makes the next message to a steward; the reply to any earlier one will not be taken.
   *
   * @param steward - Key of the steward.
   * @param epoch - The newest epoch that this host knows.
   * @param lookup - Gets each team's steward under that epoch.
   */
  sync(steward: string, epoch: number, lookup: StewardLookup, now: Millis): ShareSync {
    const pair = this.pairs.get(steward) ?? NEW_STEWARD_PAIR;
    const unlisted = this.unlisted.get(steward) ?? new Set<TeamId>();
    const own = [...new Set([...unlisted, ...this.dirty])].filter(
      (team) => lookup(team) === steward && this.rates.has(team),
    );
    const teams = own.slice(0, this.settings.maxEntries);
    const isListed = own.length <= teams.length && pair.session > 0;
    const reports = teams.map((team) => this.report(team, steward, now));
    teams.forEach((team) => this.dirty.delete(team));
    const lastSync = pair.lastSync + 1;
    const listedSession = isListed ? pair.session : 0;
    this.pairs.set(steward, {
      ...pair,
      ...{ lastSync, sentAt: now, inFlight: teams, listed: listedSession },
    });
    const { acked, session } = pair;
    return { sync: lastSync, acked, epoch, session, listedSession, reports };
  }

  /** Notes that the last message to a steward got no reply: its teams are reported again. */
  failed(steward: string): void {
    const pair = this.pairs.get(steward);
    if (pair === undefined) return;
    pair.inFlight.forEach((team) => this.dirty.add(team));
    this.pairs.set(steward, { ...pair, listed: 0 });
  }

  /**
   * Applies a steward's reply; one to an earlier message than the last is ignored.
   *
   * @returns The teams that the reply spoke of.
   */
  apply(
    steward: string,
    reply: ShareReply,
    lookup: StewardLookup,
    now: Millis,
  ): readonly ShareReply['grants'][number][] {
    const pair = this.pairs.get(steward);
    if (pair === undefined || reply.sync !== pair.lastSync || reply.sync === pair.acked) return [];
    if (reply.epoch < pair.epoch) return [];
    if (reply.epoch > pair.epoch) this.freeze(steward, pair.until);
    const until = Math.max(pair.until, pair.sentAt + reply.ttlMs);
    const { session } = reply;
    this.pairs.set(steward, { ...pair, acked: reply.sync, epoch: reply.epoch, until, session });
    this.relist(steward, session > pair.session || reply.epoch > pair.epoch, pair, lookup);
    reply.declined.forEach((team) => this.dirty.add(team));
    const ours = reply.grants.filter((grant) => lookup(grant.team) === steward);
    return ours.filter((grant) => this.applyGrant(steward, reply, grant, pair, now));
  }

  private forget(team: TeamId): void {
    this.held.delete(team);
    this.dirty.delete(team);
  }

  private report(team: TeamId, steward: string, now: Millis): ShareSync['reports'][number] {
    const held = this.current(team, now) as HeldShare;
    // A gift to an earlier steward may have been counted there or not: it is lost.
    const isOther = held.steward !== undefined && held.steward !== steward;
    return reportOf(team, isOther ? { ...held, given: undefined } : held, this.settings, now);
  }

  /** Fixes the expiry of grants of an earlier epoch, which later replies must not extend. */
  private freeze(steward: string, until: Millis): void {
    this.held.forEach((held, team) => {
      const pair = this.pairs.get(steward);
      if (held.steward !== steward || pair?.epoch !== held.epoch) return;
      this.held.set(team, { ...held, frozenUntil: until });
      this.dirty.add(team);
    });
  }

  private relist(steward: string, all: boolean, pair: StewardPair, lookup: StewardLookup): void {
    const kept = this.unlisted.get(steward) ?? new Set<TeamId>();
    pair.inFlight.forEach((team) => kept.delete(team));
    if (all) {
      this.held.forEach((held, team) => {
        if (held.everHeld && lookup(team) === steward) kept.add(team);
      });
    }
    this.unlisted.set(steward, kept);
  }

  private applyGrant(
    steward: string,
    reply: ShareReply,
    grant: ShareReply['grants'][number],
    pair: StewardPair,
    now: Millis,
  ): boolean {
    const rate = this.rates.get(grant.team);
    const held = this.current(grant.team, now);
    if (rate === undefined || held === undefined) return false;
    const wasReported = pair.inFlight.includes(grant.team);
    const base = wasReported ? { ...held, given: undefined } : held;
    const next = granted(base, grant, rate, reply.sync);
    this.held.set(grant.team, { ...next, steward, epoch: reply.epoch });
    if (next.given !== undefined || next.share < held.share) this.dirty.add(grant.team);
    return true;
  }
}
