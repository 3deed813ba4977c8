import type {
  Clock,
  HostId,
  Incarnation,
  Refusal,
  TeamConfig,
  TeamId,
  TeamRate,
  Tokens,
} from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { DistributedRateLimiter } from '@camphorvane/decisions';
import type { ChargeOutcome, RateTolerance, RetryContext } from '@camphorvane/decisions';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { TurnRegistry } from '../serving/TurnRegistry.ts';
import type { TeamRateGate } from './HostCoordination.ts';

const log = eventLog('rates');

type OverRate = Extract<ChargeOutcome, { readonly type: 'over_rate' }>;

/** Rate gate that charges teams by the gossiped charges of all hosts, without a request to a peer. */
export class GossipRateGate implements TeamRateGate {
  private readonly clock: Clock;

  private readonly rates: DistributedRateLimiter;

  /** Rates logged last. Each change of the servers sets all teams again; unchanged rates are not logged. */
  private logged: ReadonlyMap<TeamId, TeamRate> = new Map();

  private readonly turns: TurnRegistry | undefined;

  /**
   * @param clock - Clock that refills the token buckets.
   * @param tolerance - How far all hosts together may exceed a rate.
   * @param turns - Scheduled retries of refused callers; none where absent.
   */
  constructor(clock: Clock, tolerance: RateTolerance, turns?: TurnRegistry) {
    this.clock = clock;
    this.turns = turns;
    this.rates = new DistributedRateLimiter(tolerance, turns?.rates);
  }

  /** Applies the changed teams. A team without a rate is not limited. */
  setTeams(teams: readonly TeamConfig[]): void {
    const limited = teams.filter((team) => team.rate.tokensPerSecond > 0);
    const rates = new Map(limited.map((team) => [team.id, team.rate]));
    this.rates.reconfigure(rates, this.clock.now());
    limited.filter(({ id, rate }) => !isSameRate(rate, this.logged.get(id))).forEach(logRate);
    this.logged = rates;
  }

  /** Applies a changed set of peers. */
  setPeers(hosts: readonly HostId[]): void {
    this.rates.setPeerHosts(hosts, this.clock.now());
  }

  /** Records that a process of this host before this one may have charged teams. */
  recordEarlierProcess(_incarnation: Incarnation): void {
    this.rates.recordEarlierProcess(this.clock.now());
  }

  /** Receives the charges of a peer. */
  receive({ host, incarnation, charged, retries }: HostHint): void {
    if (retries?.isNew !== true) this.rates.recordLastingPeer(this.clock.now());
    this.rates.receive(host, incarnation, new Map(charged), this.clock.now());
  }

  /** Receives the charges of all peers together from a relay. */
  receiveDigest({ host, incarnation, hostCount, charged }: HostDigest): void {
    const digest = { relay: host, incarnation, peerCount: hostCount, totals: new Map(charged) };
    this.rates.receiveDigest(digest, this.clock.now());
  }

  /** Gets the total charges of this host, to be sent to its peers. */
  getChargedTotals(): readonly (readonly [TeamId, Tokens])[] {
    return [...this.rates.getTotals()];
  }

  /** {@inheritDoc TeamRateGate.charge} */
  charge(team: TeamId, tokens: Tokens, retry?: RetryContext): ResultAsync<RateCharge, Refusal> {
    const context = this.turns?.isOn() === true ? retry : undefined;
    if (context !== undefined) {
      this.turns?.recordArrival({ kind: 'rate', name: team }, context.priority, context.ageMs);
    }
    const outcome = this.rates.charge(team, tokens, this.clock.now(), context);
    if (outcome.type === 'over_rate') this.logRefusal(team, tokens, outcome, context);
    return outcome.type === 'charged'
      ? okAsync({ team, tokens })
      : errAsync(notRun('over_rate', 'The team is over its rate.', outcome.retryAfterMs));
  }

  /** {@inheritDoc TeamRateGate.refund} */
  refund(charge: RateCharge, unused: Tokens): void {
    if (unused > 0) this.rates.refund(charge.team, unused, this.clock.now());
  }

  private logRefusal(
    team: TeamId,
    tokens: Tokens,
    { retryAfterMs, offer }: OverRate,
    retry: RetryContext | undefined,
  ): void {
    if (retry !== undefined && offer !== undefined) {
      const req = { ...retry, team, units: tokens };
      this.turns?.recordOffer({ kind: 'rate', name: team }, req, offer);
    }
    const { level, silentPeers } = this.rates.inspect(team, this.clock.now());
    log('over_rate', { team, tokens, level: Math.floor(level), silentPeers, retryAfterMs });
  }

  /** Gets the level of each team's token bucket for the state dump. */
  dump(): object {
    return this.rates.dump(this.clock.now());
  }
}

function isSameRate(rate: TeamRate, other: TeamRate | undefined): boolean {
  return rate.tokensPerSecond === other?.tokensPerSecond && rate.burstTokens === other.burstTokens;
}

function logRate({ id, rate }: TeamConfig): void {
  log('rate', { team: id, tokensPerSecond: rate.tokensPerSecond, burst: rate.burstTokens });
}
