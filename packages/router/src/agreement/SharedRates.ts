import type {
  Clock,
  HostId,
  Millis,
  Refusal,
  TeamConfig,
  TeamId,
  TeamRate,
  Tokens,
} from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { DistributedRateLimiter } from '@camphorvane/decisions';
import type { RateTolerance } from '@camphorvane/decisions';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge } from '../host/ports.ts';
import { stateLog } from '../observe/StateLog.ts';
import type { TeamGate } from './HostAgreement.ts';

const log = stateLog('rates');

/** Charges teams by what all hosts count; no host is asked. */
export class SharedRates implements TeamGate {
  private readonly clock: Clock;

  private readonly rates: DistributedRateLimiter;

  /** Rates that stand in the log; teams are set anew with each change of the servers too. */
  private logged: ReadonlyMap<TeamId, TeamRate> = new Map();

  /**
   * @param clock - Fills the buckets.
   * @param tolerance - How far hosts may go beyond a rate together.
   */
  constructor(clock: Clock, tolerance: RateTolerance) {
    this.clock = clock;
    this.rates = new DistributedRateLimiter(tolerance);
  }

  /** Takes changed teams into force. A team without a rate is not limited. */
  setTeams(teams: readonly TeamConfig[]): void {
    const limited = teams.filter((team) => team.rate.tokensPerSecond > 0);
    const rates = new Map(limited.map((team) => [team.id, team.rate]));
    this.rates.reconfigure(rates, this.clock.now());
    limited.filter(({ id, rate }) => !isSameRate(rate, this.logged.get(id))).forEach(logRate);
    this.logged = rates;
  }

  /** Takes a changed set of other hosts into force. */
  setSharers(hosts: readonly HostId[]): void {
    this.rates.setSharers(hosts, this.clock.now());
  }

  /** Takes in what a peer has charged. */
  receive({ host, incarnation, charged }: HostHint): void {
    this.rates.receive(host, incarnation, new Map(charged), this.clock.now());
  }

  /** Takes in what all peers together have charged, as a relaying host has heard it. */
  receiveSum({ host, incarnation, heard, charged }: HostDigest): void {
    const hint = { relay: host, incarnation, heard, totals: new Map(charged) };
    this.rates.receiveDigest(hint, this.clock.now());
  }

  /** Gets what this host has charged, to be logged to its peers. */
  getCharged(): readonly (readonly [TeamId, Tokens])[] {
    return [...this.rates.getTotals()];
  }

  /** {@inheritDoc TeamGate.charge} */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal> {
    const outcome = this.rates.charge(team, tokens, this.clock.now());
    if (outcome.type === 'over_rate') this.logRefusal(team, tokens, outcome.retryAfterMs);
    return outcome.type === 'charged'
      ? okAsync({ team, tokens })
      : errAsync(notRun('over_rate', 'The team is over its rate.', outcome.retryAfterMs));
  }

  /** {@inheritDoc TeamGate.refund} */
  refund(charge: RateCharge, unused: Tokens): void {
    if (unused > 0) this.rates.refund(charge.team, unused, this.clock.now());
  }

  private logRefusal(team: TeamId, tokens: Tokens, retryAfterMs: Millis): void {
    const { level, silentPeers } = this.rates.inspect(team, this.clock.now());
    log('over_rate', { team, tokens, level: Math.floor(level), silentPeers, retryAfterMs });
  }

  /** Gets the level of each team's bucket, for the state dump. */
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
