import type { Clock, HostId, Refusal, TeamConfig, TeamId, Tokens } from '@camphorvane/core';
import { DistributedRateLimiter } from '@camphorvane/decisions';
import type { TeamRates } from '@camphorvane/peer';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RateCharge } from '../host/ports.ts';
import type { TeamRateGate } from './HostCoordination.ts';

/** Options of {@link OutageRateGate}. */
export interface OutageRateGateOptions {
  readonly clock: Clock;
  readonly self: HostId;
  /** Exact shares, which need a coordinator for each team. */
  readonly shares: TeamRates;
  /** Gets all members of the group, including dead ones that could not be removed. */
  readonly members: () => readonly HostId[];
  /** Tells whether a majority confirms the membership of this host. */
  readonly mayAct: () => boolean;
}

/**
 * Charges exact shares, and falls back to an equal share of the rate of a team without a coordinator.
 *
 * When a host crashes during an outage of the store, the grants of the teams that it coordinated expire and
 * no new epoch can name another coordinator; callers within their rate would be refused until the store
 * returns. No host then has a grant of these teams, so one equal share for each member, the crashed one
 * included, stays within the rate. A host without a confirming majority uses no equal share, since the
 * group may have continued without it.
 */
export class OutageRateGate implements TeamRateGate {
  private readonly options: OutageRateGateOptions;

  /** Limiter with equal shares: it receives no charges of peers, so it leaves each peer its share. */
  private readonly fallback = new DistributedRateLimiter({ over: 0, slackTokens: 0, windowMs: 1 });

  private peerKey = '';

  /** Charges that were taken from an equal share. */
  private readonly fallbackCharges = new WeakSet<RateCharge>();

  /** @param options - The exact shares and the state of the group. */
  constructor(options: OutageRateGateOptions) {
    this.options = options;
  }

  /** {@inheritDoc TeamRateGate.setTeams} */
  setTeams(teams: readonly TeamConfig[]): void {
    this.options.shares.setTeams(teams);
    this.fallback.reconfigure(new Map(teams.map(({ id, rate }) => [id, rate])), this.now());
  }

  /** {@inheritDoc TeamRateGate.charge} */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal> {
    return this.options.shares
      .charge(team, tokens)
      .orElse((refusal) => this.chargeFallback(team, tokens, refusal));
  }

  /** {@inheritDoc TeamRateGate.refund} */
  refund(charge: RateCharge, unused: Tokens): void {
    if (this.fallbackCharges.has(charge)) this.fallback.refund(charge.team, unused, this.now());
    else this.options.shares.refund(charge, unused);
  }

  private chargeFallback(
    team: TeamId,
    tokens: Tokens,
    refusal: Refusal,
  ): ResultAsync<RateCharge, Refusal> {
    if (refusal.code !== 'share_unavailable' || !this.options.mayAct()) return errAsync(refusal);
    this.updatePeers();
    if (this.fallback.charge(team, tokens, this.now()).type !== 'charged') return errAsync(refusal);
    const charge: RateCharge = { team, tokens };
    this.fallbackCharges.add(charge);
    return okAsync(charge);
  }

  private updatePeers(): void {
    const peers = this.options.members().filter((host) => host !== this.options.self);
    const peerKey = peers.join();
    if (peerKey === this.peerKey) return;
    this.peerKey = peerKey;
    this.fallback.setPeerHosts(peers, this.now());
  }

  private now(): number {
    return this.options.clock.now();
  }
}
