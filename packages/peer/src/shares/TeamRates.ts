import {
  type Clock,
  type Millis,
  type Refusal,
  sleep,
  type TeamConfig,
  type TeamId,
  type TeamRate,
  type Tokens,
} from '@camphorvane/core';
import {
  DEFAULT_SHARE_SETTINGS,
  memberKey,
  ShareHolder,
  type ShareReply,
  type ShareSettings,
  ShareCoordinator,
  type ShareSync,
} from '@camphorvane/group';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { PeerLink, PeerResponse, PeerSender } from '../PeerLink.ts';
import { ChargeQueue } from './ChargeQueue.ts';
import { NO_SHARE_RETRY_MS, noShare, overBurst, overRate } from './RateMessages.ts';
import type { ShareAuthority, ShareMember } from './ShareAuthority.ts';
import { dumpOf, type TeamRateDump } from './TeamRateDump.ts';
import { StewardTask } from './StewardTask.ts';

/** Tokens taken from a team's rate for one request. */
export interface Charge {
  readonly team: TeamId;
  readonly tokens: Tokens;
}

/** What {@link TeamRates} needs. */
export interface TeamRatesOptions {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly authority: ShareAuthority;
  readonly settings?: ShareSettings;
}

/** After how long a member that was asked for tokens counts as silent. */
const BORROW_TIMEOUT_MS: Millis = 15;

/** Most teams of which a host finds out in one period whether they are its own. */
const TEAMS_PLACED_PER_PERIOD = 200;

/**
 * Charges teams on this host, and answers as steward for the teams that are this host's to look
 * after. Over all hosts together a team gets at most its rate and burst.
 */
export class TeamRates {
  private readonly options: TeamRatesOptions;

  private readonly settings: ShareSettings;

  private readonly holder: ShareHolder;

  private readonly steward: ShareCoordinator;

  private readonly tasks = new Map<string, StewardTask>();

  private readonly queue: ChargeQueue;

  private readonly stopping = new AbortController();

  private rates: ReadonlyMap<TeamId, TeamRate> = new Map();

  private epoch = 0;

  /** Spreads borrowing over the members. */
  private nextLender = 0;

  /** Teams of which it is not yet known whether this host is to look after them. */
  private unplaced: TeamId[] = [];

  /** @param options - The edges of this host. */
  constructor(options: TeamRatesOptions) {
    this.options = options;
    this.settings = options.settings ?? DEFAULT_SHARE_SETTINGS;
    this.holder = new ShareHolder(this.settings);
    this.steward = new ShareCoordinator(this.settings);
    this.queue = new ChargeQueue({
      clock: options.clock,
      holder: this.holder,
      signal: this.stopping.signal,
      rateOf: (team) => this.rates.get(team),
      syncTeam: (team) => this.syncTeam(team),
      borrow: (team, tokens) => this.borrow(team, tokens),
    });
  }

  /** Starts the task that reports to stewards; it ends with {@link TeamRates.stop}. */
  start(): void {
    void this.run();
  }

  /** Ends all tasks without a word, as a crash would; grants run out by themselves. */
  stop(): void {
    this.stopping.abort();
  }

  /** Takes the teams in force, with their rates. */
  setTeams(teams: readonly TeamConfig[]): void {
    this.rates = new Map(teams.map((team) => [team.id, team.rate]));
    const now = this.now();
    this.unplaced = [...this.rates.keys()];
    this.holder.setRates(this.rates, now);
    this.steward.setRates(this.rates, now);
  }

  /**
   * Takes tokens of a team's rate.
   *
   * Load: callers of one team at one host while its tokens lie at others. A request that lacks
   * tokens here borrows from other members; where they have too few it is refused at once and told
   * when to come back. It waits for at most 150 ms.
   *
   * @param team - The team of the caller's key.
   * @param tokens - Prompt plus allowed output.
   * @returns The charge, or a refusal `over_rate` or `share_unavailable`.
   */
  charge(team: TeamId, tokens: Tokens): ResultAsync<Charge, Refusal> {
    const rate = this.rates.get(team);
    if (rate === undefined || !this.options.authority.mayAct()) {
      return errAsync(noShare(NO_SHARE_RETRY_MS));
    }
    if (tokens > rate.burstTokens) return errAsync(overBurst(tokens, rate));
    const now = this.now();
    this.holder.recordDemand(team, tokens, now);
    const outcome = this.holder.charge(team, tokens, now);
    if (outcome.type === 'charged') return okAsync({ team, tokens });
    const isKnownShort = outcome.type === 'short' && this.queue.isExhausted(team, outcome.lack);
    if (isKnownShort) return errAsync(overRate(outcome.lack, rate));
    return new ResultAsync(this.queue.wait(team, tokens, rate)).map(() => ({ team, tokens }));
  }

  /**
   * Gives back what a request did not use.
   *
   * @param charge - What was charged.
   * @param unused - Tokens of it that were not used.
   */
  refund(charge: Charge, unused: Tokens): void {
    const tokens = Math.min(Math.max(0, Math.floor(unused)), charge.tokens);
    this.holder.refund(charge.team, tokens, this.now());
    this.queue.serve(charge.team);
  }

  /**
   * Answers a holder as the steward of its teams.
   *
   * @param from - The holder.
   * @param message - What it reports.
   * @returns The answer.
   */
  answerSync(from: PeerSender, message: ShareSync): PeerResponse {
    const reply = this.answerAsSteward(memberKey(from), message);
    return reply === undefined ? { type: 'ok' } : { type: 'share_reply', message: reply };
  }

  /** Lends tokens for a request that waits at another host. */
  answerBorrow(team: TeamId, tokens: Tokens): PeerResponse {
    const lent = this.options.authority.mayAct() ? this.holder.lend(team, tokens, this.now()) : 0;
    return { type: 'share_lent', tokens: lent };
  }

  /** Reports teams to the steward that asked for it. */
  answerNudge(from: PeerSender, teams: readonly TeamId[]): PeerResponse {
    this.nudged(memberKey(from), teams);
    return { type: 'ok' };
  }

  /**
   * Reports everything once more, so that a host that leaves has its shares taken back by stewards
   * that no longer count it among those who stay.
   *
   * @returns A promise that resolves when all stewards have answered or were given up.
   */
  async handBack(): Promise<void> {
    this.holder.handleEpochChange();
    const round = (): Promise<unknown> =>
      Promise.all(this.dueStewards().map((member) => this.taskOf(member).sync()));
    await round();
    await round();
  }

  /** Gets what is held of each team, for a dump. */
  dump(): Readonly<Record<TeamId, TeamRateDump>> {
    const now = this.now();
    return dumpOf(this.holder, now, (team) => this.queue.countOf(team));
  }

  private now(): Millis {
    return this.options.clock.now();
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      this.tick();
      await sleep(this.options.clock, this.settings.reportIntervalMs, this.stopping.signal);
    }
  }

  private tick(): void {
    this.followEpoch();
    this.placeSome();
    this.dueStewards().forEach((member) => {
      void this.taskOf(member).sync();
    });
  }

  /**
   * Opens the accounts of teams that are this host's, a few at a time: thousands of hashes at once
   * would hold up requests for a good part of a second.
   */
  private placeSome(): void {
    const { authority } = this.options;
    const now = this.now();
    const ctx = authority.context();
    const own = this.unplaced
      .splice(0, TEAMS_PLACED_PER_PERIOD)
      .filter((team) => authority.stewardOf(team) === authority.self());
    own.forEach((team) => this.steward.ensureTeam(team, ctx, now));
    this.unplaced.push(...own.filter((team) => !ctx.mayCoordinate(team)));
  }

  /** Presents what is held to the stewards of a new epoch. */
  private followEpoch(): void {
    const { authority } = this.options;
    const epoch = authority.epoch();
    if (epoch === this.epoch) return;
    if (!authority.memberThroughout(this.epoch)) this.holder.dropAll(this.now());
    this.epoch = epoch;
    this.unplaced = [...this.rates.keys()];
    this.holder.handleEpochChange();
    const keys = new Set(authority.members().map((member) => member.key));
    [...this.tasks.keys()].filter((key) => !keys.has(key)).forEach((key) => this.tasks.delete(key));
  }

  private dueStewards(): readonly ShareMember[] {
    const { authority } = this.options;
    const changed = new Set([...this.holder.getDirtyTeams()].map((t) => authority.stewardOf(t)));
    const now = this.now();
    return authority.members().filter(({ key }) => {
      const sentAt = this.holder.lastSentAt(key);
      const isRenewalDue = sentAt === undefined || now - sentAt >= this.settings.renewIntervalMs;
      return isRenewalDue || changed.has(key) || this.holder.hasUnreportedShares(key);
    });
  }

  private taskOf(member: ShareMember): StewardTask {
    const known = this.tasks.get(member.key);
    if (known !== undefined) return known;
    const task = new StewardTask({
      member,
      clock: this.options.clock,
      link: this.options.link,
      message: () => this.message(member.key),
      answerLocally: (message) =>
        member.key === this.options.authority.self()
          ? { reply: this.answerAsSteward(member.key, message) }
          : undefined,
      onReply: (reply) => this.takeReply(member.key, reply),
      onFailure: () => this.holder.handleSyncFailure(member.key),
    });
    this.tasks.set(member.key, task);
    return task;
  }

  private message(steward: string): ShareSync {
    const { authority } = this.options;
    this.followEpoch();
    const lookup = (team: TeamId): string | undefined => authority.stewardOf(team);
    return this.holder.createSync(steward, this.epoch, lookup, this.now());
  }

  private answerAsSteward(holder: string, message: ShareSync): ShareReply | undefined {
    const { authority } = this.options;
    const answer = this.steward.handleSync(holder, message, authority.context(), this.now());
    answer?.nudges.forEach((nudge) => this.nudge(nudge.holder, nudge.teams));
    return answer?.reply;
  }

  private nudge(holder: string, teams: readonly TeamId[]): void {
    const { authority, link } = this.options;
    if (holder === authority.self()) {
      this.nudged(holder, teams);
      return;
    }
    const member = authority.members().find((one) => one.key === holder);
    if (member === undefined) return;
    void link.ask(member.address, { type: 'share_nudge', teams }, this.settings.reportIntervalMs);
  }

  private nudged(steward: string, teams: readonly TeamId[]): void {
    const now = this.now();
    teams.forEach((team) => this.holder.markDirty(team, now));
    this.syncSoon(steward);
  }

  private async syncTeam(team: TeamId): Promise<void> {
    const key = this.options.authority.stewardOf(team);
    const member = this.options.authority.members().find((one) => one.key === key);
    if (member !== undefined) await this.taskOf(member).sync();
  }

  /** Borrows from one member after the other until there is enough. */
  private async borrow(team: TeamId, tokens: Tokens): Promise<Tokens> {
    const { authority, link } = this.options;
    const others = authority.members().filter((member) => member.key !== authority.self());
    const start = this.nextLender % Math.max(1, others.length);
    this.nextLender += 1;
    const lenders = [...others.slice(start), ...others.slice(0, start)];
    return lenders.reduce(async (before, member) => {
      const got = await before;
      if (got >= tokens || !authority.mayAct()) return got;
      const req = { type: 'share_borrow', team, tokens: tokens - got } as const;
      const res = await link.ask(member.address, req, BORROW_TIMEOUT_MS);
      return res.isOk() && res.value.type === 'share_lent' ? got + res.value.tokens : got;
    }, Promise.resolve(0));
  }

  private syncSoon(steward: string): void {
    const member = this.options.authority.members().find((one) => one.key === steward);
    if (member !== undefined) void this.taskOf(member).sync();
  }

  private takeReply(steward: string, reply: ShareReply): void {
    const { authority } = this.options;
    const now = this.now();
    const lookup = (team: TeamId): string | undefined => authority.stewardOf(team);
    const grants = this.holder.applyReply(steward, reply, lookup, now);
    grants.forEach((grant) => this.queue.serve(grant.team));
    const isUrgent = grants.some((grant) => this.holder.hasUnreportedReturn(grant.team));
    if (isUrgent || this.holder.hasUnreportedShares(steward)) this.syncSoon(steward);
  }
}
