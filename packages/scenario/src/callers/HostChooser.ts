import type { Clock, HostId, Millis, RandomSource, TeamId } from '@camphorvane/core';
import { keyOf } from '../language/routingConfig.ts';
import type { LoadStep } from '../language/scenarioSchema.ts';
import type { HostSlot } from '../world/HostSlot.ts';

interface KeptAdvice {
  readonly hosts: readonly HostId[];
  readonly until: Millis;
}

/** One answer to a caller that asked for addresses. */
export interface AdviceLog {
  readonly at: Millis;
  readonly from: HostId;
  readonly hosts: readonly HostId[];
}

/** Chooses hosts as callers do: asks any host for addresses and keeps the answer for a while. */
export class HostChooser {
  /** Every advice that was given. */
  readonly given: AdviceLog[] = [];

  private readonly kept = new Map<TeamId, KeptAdvice>();

  constructor(
    private readonly slots: ReadonlyMap<HostId, HostSlot>,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /**
   * Chooses a host for a send.
   *
   * @param work - What is sent; may name its host.
   * @param failed - Hosts that failed this request.
   * @returns A host; it may be down.
   */
  choose(work: LoadStep, failed: readonly HostId[]): HostId {
    if (work.host !== undefined) return work.host;
    const kept = this.kept.get(work.team);
    const advice =
      kept !== undefined && kept.until > this.clock.now() ? kept.hosts : this.ask(work.team);
    return advice.find((host) => !failed.includes(host)) ?? this.any();
  }

  /** Forgets the advice of a team because one of its hosts failed. */
  forget(team: TeamId): void {
    this.kept.delete(team);
  }

  private ask(team: TeamId): readonly HostId[] {
    const from = this.any();
    const advice = this.slots.get(from)?.running?.host.backend.recommendHosts(keyOf(team));
    if (advice === undefined || advice.isErr()) return [from];
    const hosts = advice.value.hosts.map((host) => host.host);
    const at = this.clock.now();
    this.given.push({ at, from, hosts });
    this.kept.set(team, { hosts, until: at + advice.value.maxAgeMs });
    return hosts;
  }

  /** Gets any host that accepts connections, as a caller does that tries one after another. */
  private any(): HostId {
    const ids = [...this.slots.keys()];
    const up = ids.filter((id) => this.slots.get(id)?.running !== undefined);
    const among = up.length > 0 ? up : ids;
    return among[this.random.int(0, among.length - 1)] ?? '';
  }
}
