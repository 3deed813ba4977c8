import type { Clock, Millis, Refusal, TeamConfig, TeamId, Tokens } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge, RateGate } from './ports.ts';

interface Bucket {
  tokens: Tokens;
  at: Millis;
}

/** Gives each host an equal, fixed part of a team's rate. */
export class StaticRates implements RateGate {
  private readonly clock: Clock;

  private readonly hostCount: () => number;

  private teams: ReadonlyMap<TeamId, TeamConfig> = new Map();

  private readonly buckets = new Map<TeamId, Bucket>();

  /**
   * @param clock - Times the refill.
   * @param hostCount - Gets the number of hosts that share each rate.
   */
  constructor(clock: Clock, hostCount: () => number) {
    this.clock = clock;
    this.hostCount = hostCount;
  }

  /** Takes changed teams into force. */
  setTeams(teams: readonly TeamConfig[]): void {
    this.teams = new Map(teams.map((team) => [team.id, team]));
  }

  /** Takes tokens from this host's part. */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal> {
    const rate = this.teams.get(team)?.rate;
    if (rate === undefined) return errAsync(notRun('share_unavailable', 'The team has no rate.'));
    const perSecond = rate.tokensPerSecond / this.hostCount();
    const burst = rate.burstTokens / this.hostCount();
    const now = this.clock.now();
    const bucket = this.buckets.get(team) ?? { tokens: burst, at: now };
    bucket.tokens = Math.min(burst, bucket.tokens + ((now - bucket.at) * perSecond) / 1000);
    bucket.at = now;
    this.buckets.set(team, bucket);
    if (bucket.tokens < tokens) {
      const waitMs = ((tokens - bucket.tokens) / perSecond) * 1000;
      return errAsync(notRun('over_rate', 'The team is over its rate.', waitMs));
    }
    bucket.tokens -= tokens;
    return okAsync({ team, tokens });
  }

  /** Gives tokens back. */
  refund(charge: RateCharge, unused: Tokens): void {
    const bucket = this.buckets.get(charge.team);
    if (bucket !== undefined) bucket.tokens += unused;
  }
}
