import type { Clock, Refusal, TeamConfig, TeamId, Tokens } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { EvenShare } from '@camphorvane/decisions';
import type { RateTolerance } from '@camphorvane/decisions';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge } from '../host/ports.ts';
import type { TeamGate } from './HostAgreement.ts';

/** Charges teams against this host's equal share of their rates; no host is asked. */
export class EvenRates implements TeamGate {
  private readonly clock: Clock;

  private readonly share: EvenShare;

  private teams: readonly TeamConfig[] = [];

  /**
   * @param clock - Fills the share.
   * @param tolerance - How far hosts may go beyond a rate together.
   * @param hostCount - Gets how many hosts share the rates.
   */
  constructor(clock: Clock, tolerance: RateTolerance, hostCount: () => number) {
    this.clock = clock;
    this.share = new EvenShare(tolerance, hostCount);
  }

  /** {@inheritDoc TeamGate.setTeams} */
  setTeams(teams: readonly TeamConfig[]): void {
    this.teams = teams;
    this.refresh();
  }

  /** Takes a changed number of hosts into force. A team without a rate is not limited. */
  refresh(): void {
    const limited = this.teams.filter((team) => team.rate.tokensPerSecond > 0);
    const rates = new Map(limited.map((team) => [team.id, team.rate]));
    this.share.reshape(rates, this.clock.now());
  }

  /** {@inheritDoc TeamGate.charge} */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal> {
    const outcome = this.share.charge(team, tokens, this.clock.now());
    return outcome.type === 'charged'
      ? okAsync({ team, tokens })
      : errAsync(notRun('over_rate', 'The team is over its rate.', outcome.retryAfterMs));
  }

  /** {@inheritDoc TeamGate.refund} */
  refund(charge: RateCharge, unused: Tokens): void {
    if (unused > 0) this.share.refund(charge.team, unused, this.clock.now());
  }

  /** Gets the level of each team's share, for the state dump. */
  dump(): object {
    return this.share.dump(this.clock.now());
  }
}
