import type { HostId, Millis } from '@camphorvane/core';
import type { PeerReach } from '@camphorvane/decisions';

/** Milliseconds for which the sharers are kept while some hosts are cut off. */
const REFRESH_MS: Millis = 100;

/**
 * The hosts that share what upstreams take: those that serve callers, without those that have lost their links.
 * The latter send nothing until they have their links back, which their peers learn by the next hint.
 */
export class UpstreamSharers {
  private readonly self: HostId;

  private readonly getServing: () => readonly HostId[];

  private readonly reach: PeerReach;

  private serving: readonly HostId[] = [];

  private sharers: readonly HostId[] = [];

  private refreshedAt: Millis = -Infinity;

  /**
   * @param self - This host, which always counts itself.
   * @param getServing - Gets the hosts that serve callers while all are up; the same array until it changes.
   * @param reach - Which hosts are cut off.
   */
  constructor(self: HostId, getServing: () => readonly HostId[], reach: PeerReach) {
    this.self = self;
    this.getServing = getServing;
    this.reach = reach;
  }

  /** Gets the hosts; the same array until they change. */
  get(now: Millis): readonly HostId[] {
    const serving = this.getServing();
    if (!this.reach.hasUnreached()) return serving;
    const isFresh = serving === this.serving && now - this.refreshedAt < REFRESH_MS;
    if (!isFresh) this.refresh(serving, now);
    return this.sharers;
  }

  private refresh(serving: readonly HostId[], now: Millis): void {
    const sharers = serving.filter((host) => host === this.self || !this.reach.isCutOff(host, now));
    if (sharers.join() !== this.sharers.join()) this.sharers = sharers;
    this.serving = serving;
    this.refreshedAt = now;
  }
}
