import type {
  Clock,
  Millis,
  Refusal,
  TeamConfig,
  TeamId,
  TeamRate,
  Tokens,
} from '@camphorvane/core';
import { runInBackground, runLoop, sleep } from '@camphorvane/core';
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
import {
  NO_SHARE_RETRY_MS,
  noShareRefusal,
  overBurstRefusal,
  overRateRefusal,
} from './rateRefusals.ts';
import type { ShareAuthority, ShareMember } from './ShareAuthority.ts';
import { dumpTeamRates, type TeamRateDump } from './TeamRateDump.ts';
import { CoordinatorSyncTask } from './CoordinatorSyncTask.ts';

/** Tokens taken from a team's rate for one request. */
export interface Charge {
  readonly team: TeamId;
  readonly tokens: Tokens;
}

/** Options of {@link TeamRates}. */
export interface TeamRatesOptions {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly authority: ShareAuthority;
  readonly settings?: ShareSettings;
}

/** Timeout of a request to borrow tokens from a member. */
const BORROW_TIMEOUT_MS: Millis = 15;

/** Maximum number of teams per period for which a host checks whether it is the coordinator. */
const TEAMS_CHECKED_PER_PERIOD = 200;

/**
 * Charges teams on this host, and answers as the coordinator of the teams assigned to this host.
 * Across all hosts of the group a team gets at most its rate and burst.
 */
export class TeamRates {
  private readonly options: TeamRatesOptions;

  private readonly settings: ShareSettings;

  private readonly holder: ShareHolder;

  private readonly coordinator: ShareCoordinator;

  private readonly tasks = new Map<string, CoordinatorSyncTask>();

  private readonly queue: ChargeQueue;

  private readonly stopping = new AbortController();

  private rates: ReadonlyMap<TeamId, TeamRate> = new Map();

  private epoch = 0;

  /** Rotates the member that is asked first, to spread borrowing over the members. */
  private nextLenderIndex = 0;

  /** Teams for which this host has not yet checked whether it is the coordinator. */
  private uncheckedTeams: TeamId[] = [];

  /** @param options - Clock, link, group state and settings. */
  constructor(options: TeamRatesOptions) {
    this.options = options;
    this.settings = options.settings ?? DEFAULT_SHARE_SETTINGS;
    this.holder = new ShareHolder(this.settings);
    this.coordinator = new ShareCoordinator(this.settings);
    this.queue = new ChargeQueue({
      clock: options.clock,
      holder: this.holder,
      signal: this.stopping.signal,
      rateOf: (team) => this.rates.get(team),
      syncTeam: (team) => this.syncTeam(team),
      borrow: (team, tokens) => this.borrow(team, tokens),
    });
  }

  /** Starts the periodic sync with coordinators; it ends with {@link TeamRates.stop}. */
  start(): void {
    const loop = { place: 'shares', clock: this.options.clock, signal: this.stopping.signal };
    runInBackground('shares', () =>
      runLoop(loop, async () => {
        this.runPeriod();
        await sleep(loop.clock, this.settings.reportIntervalMs, loop.signal);
      }),
    );
  }

  /** Stops all tasks without notifying any host, like a crash; grants expire by themselves. */
  stop(): void {
    this.stopping.abort();
  }

  /** Applies the configured teams and their rates. */
  setTeams(teams: readonly TeamConfig[]): void {
    this.rates = new Map(teams.map((team) => [team.id, team.rate]));
    const now = this.now();
    this.uncheckedTeams = [...this.rates.keys()];
    this.holder.setRates(this.rates, now);
    this.coordinator.setRates(this.rates, now);
  }

  /**
   * Charges tokens against a team's rate.
   *
   * All callers of a team may be at one host while its tokens are at others. A request that lacks
   * tokens here borrows from other members; where they have too few, it is refused at once with a
   * retry delay. It waits for at most 150 ms.
   *
   * @param team - The team of the caller's key.
   * @param tokens - Tokens of the prompt plus the maximum output tokens.
   * @returns The charge, or a refusal `over_rate` or `share_unavailable`.
   */
  charge(team: TeamId, tokens: Tokens): ResultAsync<Charge, Refusal> {
    const rate = this.rates.get(team);
    if (rate === undefined || !this.options.authority.mayAct()) {
      return errAsync(noShareRefusal(NO_SHARE_RETRY_MS));
    }
    if (tokens > rate.burstTokens) return errAsync(overBurstRefusal(tokens, rate));
    const now = this.now();
    this.holder.recordDemand(team, tokens, now);
    const outcome = this.holder.charge(team, tokens, now);
    if (outcome.type === 'charged') return okAsync({ team, tokens });
    const isKnownShort = outcome.type === 'short' && this.queue.isExhausted(team, outcome.lack);
    if (isKnownShort) return errAsync(overRateRefusal(outcome.lack, rate));
    return new ResultAsync(this.queue.wait(team, tokens, rate)).map(() => ({ team, tokens }));
  }

  /**
   * Refunds the tokens that a request did not use.
   *
   * @param charge - The charge of the request.
   * @param unused - Tokens of the charge that were not used.
   */
  refund(charge: Charge, unused: Tokens): void {
    const tokens = Math.min(Math.max(0, Math.floor(unused)), charge.tokens);
    this.holder.refund(charge.team, tokens, this.now());
    this.queue.serve(charge.team);
  }

  /**
   * Answers a holder's sync as the coordinator of its teams.
   *
   * @param from - The holder.
   * @param message - The holder's report.
   * @returns The reply with grants, or `ok` for a duplicate or outdated sync.
   */
  handleSync(from: PeerSender, message: ShareSync): PeerResponse {
    const reply = this.answerAsCoordinator(memberKey(from), message);
    return reply === undefined ? { type: 'ok' } : { type: 'share_reply', message: reply };
  }

  /** Lends tokens to a request that waits on another host. */
  handleBorrow(team: TeamId, tokens: Tokens): PeerResponse {
    const lent = this.options.authority.mayAct() ? this.holder.lend(team, tokens, this.now()) : 0;
    return { type: 'share_lent', tokens: lent };
  }

  /** Reports the named teams to the coordinator that requested it. */
  handleNudge(from: PeerSender, teams: readonly TeamId[]): PeerResponse {
    this.reportTeams(memberKey(from), teams);
    return { type: 'ok' };
  }

  /**
   * Reports all shares again before the host leaves, so that the coordinators, which no longer list
   * it as a staying member, reclaim its shares.
   *
   * @returns A promise that resolves when each sync was answered or has timed out.
   */
  async returnShares(): Promise<void> {
    this.holder.handleEpochChange();
    const round = (): Promise<unknown> =>
      Promise.all(this.dueCoordinators().map((member) => this.syncTaskOf(member).sync()));
    await round();
    await round();
  }

  /** Gets the state of each team's rate on this host, for the state dump. */
  dump(): Readonly<Record<TeamId, TeamRateDump>> {
    const now = this.now();
    return dumpTeamRates(this.holder, now, (team) => this.queue.countWaiting(team));
  }

  private now(): Millis {
    return this.options.clock.now();
  }

  private runPeriod(): void {
    this.applyEpoch();
    this.openSomeLedgers();
    this.dueCoordinators().forEach((member) => this.syncTaskOf(member).start());
  }

  /**
   * Opens the ledgers of the teams that this host coordinates, a limited number per period:
   * thousands of hashes at once would block requests for a good part of a second.
   */
  private openSomeLedgers(): void {
    const { authority } = this.options;
    const now = this.now();
    const ctx = authority.getCoordinatorContext();
    const own = this.uncheckedTeams
      .splice(0, TEAMS_CHECKED_PER_PERIOD)
      .filter((team) => authority.coordinatorOf(team) === authority.self());
    own.forEach((team) => this.coordinator.ensureTeam(team, ctx, now));
    this.uncheckedTeams.push(...own.filter((team) => !ctx.mayCoordinate(team)));
  }

  /** Prepares the shares held by this host to be reported to the coordinators of a new epoch. */
  private applyEpoch(): void {
    const { authority } = this.options;
    const epoch = authority.epoch();
    if (epoch === this.epoch) return;
    if (!authority.isMemberThroughout(this.epoch)) this.holder.dropAll(this.now());
    this.epoch = epoch;
    this.uncheckedTeams = [...this.rates.keys()];
    this.holder.handleEpochChange();
    const keys = new Set(authority.members().map((member) => member.key));
    [...this.tasks.keys()].filter((key) => !keys.has(key)).forEach((key) => this.tasks.delete(key));
  }

  private dueCoordinators(): readonly ShareMember[] {
    const { authority } = this.options;
    const changed = new Set(
      [...this.holder.getDirtyTeams()].map((t) => authority.coordinatorOf(t)),
    );
    const now = this.now();
    return authority.members().filter(({ key }) => {
      const sentAt = this.holder.lastSentAt(key);
      const isRenewalDue = sentAt === undefined || now - sentAt >= this.settings.renewIntervalMs;
      return isRenewalDue || changed.has(key) || this.holder.hasUnreportedShares(key);
    });
  }

  private syncTaskOf(member: ShareMember): CoordinatorSyncTask {
    const known = this.tasks.get(member.key);
    if (known !== undefined) return known;
    const task = new CoordinatorSyncTask({
      member,
      clock: this.options.clock,
      link: this.options.link,
      message: () => this.message(member.key),
      answerLocally: (message) =>
        member.key === this.options.authority.self()
          ? { reply: this.answerAsCoordinator(member.key, message) }
          : undefined,
      onReply: (reply) => this.applyReply(member.key, reply),
      onFailure: () => this.holder.handleSyncFailure(member.key),
    });
    this.tasks.set(member.key, task);
    return task;
  }

  private message(coordinator: string): ShareSync {
    const { authority } = this.options;
    this.applyEpoch();
    const lookup = (team: TeamId): string | undefined => authority.coordinatorOf(team);
    return this.holder.createSync(coordinator, this.epoch, lookup, this.now());
  }

  private answerAsCoordinator(holder: string, message: ShareSync): ShareReply | undefined {
    const { authority } = this.options;
    const answer = this.coordinator.handleSync(
      holder,
      message,
      authority.getCoordinatorContext(),
      this.now(),
    );
    answer?.nudges.forEach((nudge) => this.sendNudge(nudge.holder, nudge.teams));
    return answer?.reply;
  }

  private sendNudge(holder: string, teams: readonly TeamId[]): void {
    const { authority, link } = this.options;
    if (holder === authority.self()) {
      this.reportTeams(holder, teams);
      return;
    }
    const member = authority.members().find((one) => one.key === holder);
    if (member === undefined) return;
    runInBackground('shares', () =>
      link.ask(member.address, { type: 'share_nudge', teams }, this.settings.reportIntervalMs),
    );
  }

  private reportTeams(coordinator: string, teams: readonly TeamId[]): void {
    const now = this.now();
    teams.forEach((team) => this.holder.markDirty(team, now));
    this.syncSoon(coordinator);
  }

  private async syncTeam(team: TeamId): Promise<void> {
    const key = this.options.authority.coordinatorOf(team);
    const member = this.options.authority.members().find((one) => one.key === key);
    if (member !== undefined) await this.syncTaskOf(member).sync();
  }

  /** Borrows from one member after another until there are enough tokens; resolves to their number. */
  private async borrow(team: TeamId, tokens: Tokens): Promise<Tokens> {
    const { authority, link } = this.options;
    const others = authority.members().filter((member) => member.key !== authority.self());
    const start = this.nextLenderIndex % Math.max(1, others.length);
    this.nextLenderIndex += 1;
    const lenders = [...others.slice(start), ...others.slice(0, start)];
    return lenders.reduce(async (before, member) => {
      const got = await before;
      if (got >= tokens || !authority.mayAct()) return got;
      const req = { type: 'share_borrow', team, tokens: tokens - got } as const;
      const res = await link.ask(member.address, req, BORROW_TIMEOUT_MS);
      return res.isOk() && res.value.type === 'share_lent' ? got + res.value.tokens : got;
    }, Promise.resolve(0));
  }

  private syncSoon(coordinator: string): void {
    const member = this.options.authority.members().find((one) => one.key === coordinator);
    if (member !== undefined) this.syncTaskOf(member).start();
  }

  private applyReply(coordinator: string, reply: ShareReply): void {
    const { authority } = this.options;
    const now = this.now();
    const lookup = (team: TeamId): string | undefined => authority.coordinatorOf(team);
    const grants = this.holder.applyReply(coordinator, reply, lookup, now);
    grants.forEach((grant) => this.queue.serve(grant.team));
    const isUrgent = grants.some((grant) => this.holder.hasUnreportedReturn(grant.team));
    if (isUrgent || this.holder.hasUnreportedShares(coordinator)) this.syncSoon(coordinator);
  }
}
