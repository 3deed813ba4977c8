import type { Clock, HostId, Refusal, TeamConfig, TeamId, Tokens } from '@camphorvane/core';
import { DistributedRateLimiter } from '@camphorvane/decisions';
import type { TeamRates } from '@camphorvane/peer';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge } from '../host/ports.ts';
import type { TeamGate } from './HostAgreement.ts';

/** What outage rates are made of. */
export interface OutageRatesOptions {
  readonly clock: Clock;
  readonly self: HostId;
  /** Exact shares, which need a steward for each team. */
  readonly shares: TeamRates;
  /** Gets all members of the group, dead ones that could not be taken out included. */
  readonly members: () => readonly HostId[];
  /** Tells whether a majority vouches for this host. */
  readonly mayAct: () => boolean;
}

/**
 * Charges exact shares, and an equal part of a team's rate where no steward can give any.
 *
 * A host dies while the store is away. Its teams' grants run out, and no new epoch can name another
 * steward; callers within their rate would be refused for as long as the store is away. By then no
 * host has a grant of these teams any more, so an equal part for each member, the dead one included,
 * stays within the rate. A host that no majority vouches for takes none: the group may have gone on
 * without it.
 */
export class OutageRates implements TeamGate {
  private readonly options: OutageRatesOptions;

  /** Equal parts: nobody is ever heard, so each other member is left its part. */
  private readonly parts = new DistributedRateLimiter({ over: 0, slackTokens: 0, windowMs: 1 });

  private sharers = '';

  /** Tokens that came out of equal parts, by charge. */
  private readonly ofParts = new WeakSet<RateCharge>();

  /** @param options - The shares and what is known of the group. */
  constructor(options: OutageRatesOptions) {
    this.options = options;
  }

  /** {@inheritDoc TeamGate.setTeams} */
  setTeams(teams: readonly TeamConfig[]): void {
    this.options.shares.setTeams(teams);
    this.parts.reconfigure(new Map(teams.map(({ id, rate }) => [id, rate])), this.now());
  }

  /** {@inheritDoc TeamGate.charge} */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal> {
    return this.options.shares
      .charge(team, tokens)
      .orElse((refusal) => this.chargePart(team, tokens, refusal));
  }

  /** {@inheritDoc TeamGate.refund} */
  refund(charge: RateCharge, unused: Tokens): void {
    if (this.ofParts.has(charge)) this.parts.refund(charge.team, unused, this.now());
    else this.options.shares.refund(charge, unused);
  }

  private chargePart(
    team: TeamId,
    tokens: Tokens,
    refusal: Refusal,
  ): ResultAsync<RateCharge, Refusal> {
    if (refusal.code !== 'share_unavailable' || !this.options.mayAct()) return errAsync(refusal);
    this.takeMembers();
    if (this.parts.charge(team, tokens, this.now()).type !== 'charged') return errAsync(refusal);
    const charge: RateCharge = { team, tokens };
    this.ofParts.add(charge);
    return okAsync(charge);
  }

  private takeMembers(): void {
    const others = this.options.members().filter((host) => host !== this.options.self);
    const sharers = others.join();
    if (sharers === this.sharers) return;
    this.sharers = sharers;
    this.parts.setSharers(others, this.now());
  }

  private now(): number {
    return this.options.clock.now();
  }
}
