import type { HostId, Millis, UpstreamId, UpstreamSignals } from '@camphorvane/core';
import type { Constraint, LimitState } from './Constraint.ts';
import { describeConstraint, reportsOf, UNCONSTRAINED } from './Constraint.ts';
import type { LimitSharer } from './limitPermits.ts';
import { LIMIT_FRAME_MS, limitSharer, nextPermits, permitsInFrame } from './limitPermits.ts';
import type { Opening } from './openings.ts';
import type { ConstraintChange, UpstreamReport } from './upstreamReports.ts';

/**
 * Milliseconds for which the constraints of an upstream are kept once it is no longer listed. Entries of
 * live upstreams expire while the store is down, and return with it.
 */
const UNLISTED_RETENTION_MS: Millis = 60_000;

/**
 * Milliseconds after which a limit is to be confirmed by another request. While other upstreams suffice,
 * nobody would otherwise learn that it has ended.
 */
const LIMIT_CONFIRM_MS: Millis = 1_000;

/** Longest rest that is given, in milliseconds; a longer one is more likely an error of the server. */
const MAX_REST_MS: Millis = 3_600_000;

/** Frames with permits of this host that are taken into account for a queue. */
const MAX_OPENINGS = 16;

const SINGLE_SHARER: readonly HostId[] = [''];

/** The host whose requests are constrained, and the hosts with which it shares limits. */
export interface UpstreamConstraintsOptions {
  readonly self: HostId;
  /** Gets the hosts that share limits, in the same order on each of them; the same array until it changes. */
  readonly getSharers: () => readonly HostId[];
  /** Converts a time of this process to milliseconds since the Unix epoch. */
  readonly toTimeOfDay: (now: Millis) => Millis;
}

/** Options of a host that shares limits with no other. */
const SINGLE_HOST: UpstreamConstraintsOptions = {
  self: '',
  getSharers: () => SINGLE_SHARER,
  toTimeOfDay: (now) => now,
};

/**
 * What upstreams have asked of their clients in their answers.
 *
 * A limit holds for all hosts together. Each host takes its own permits of it (see
 * {@link permitsInFrame}), so that the sum also holds among hosts that don't hear each other, and for one
 * that has just restarted. Reports of peers only make limits known sooner. Rest is asked of one host.
 */
export class UpstreamConstraints {
  private readonly options: UpstreamConstraintsOptions;

  private readonly constraints = new Map<UpstreamId, Constraint>();

  private sharers: readonly HostId[] = [];

  /** Positions among the sharers, by upstream; cleared when the sharers change. */
  private readonly positions = new Map<UpstreamId, LimitSharer>();

  /** @param options - The hosts that share limits, and the time of day. */
  constructor(options: UpstreamConstraintsOptions = SINGLE_HOST) {
    this.options = options;
  }

  /**
   * Records the signals of an answer to this host.
   *
   * @param upstream - The upstream that answered.
   * @param signals - What the answer said.
   * @param now - Present time.
   * @returns What has changed.
   */
  record(
    upstream: UpstreamId,
    { requestsPerSecond, endsLimit, leaving, restMs }: UpstreamSignals,
    now: Millis,
  ): readonly ConstraintChange[] {
    const saysLimit =
      requestsPerSecond !== undefined || (endsLimit && this.limitOf(upstream) !== undefined);
    const limit = { requestsPerSecond, observedAt: now, isOwn: true };
    return [
      ...(saysLimit ? this.setLimit(upstream, limit, now) : []),
      ...(leaving ? this.setLeaving(upstream, now, true, now) : []),
      ...(restMs === undefined ? [] : this.setRest(upstream, restMs, now)),
    ];
  }

  /**
   * Receives the reports of a peer.
   *
   * @param reports - What answers to the peer said.
   * @param now - Present time.
   * @returns What has changed.
   */
  receive(reports: readonly UpstreamReport[], now: Millis): readonly ConstraintChange[] {
    return reports.flatMap((report) => {
      const observedAt = now - report.ageMs;
      if (report.type === 'leaving') {
        return this.setLeaving(report.upstream, observedAt, false, now);
      }
      const known = this.constraints.get(report.upstream)?.limit;
      if (known === undefined && report.type === 'no_limit') return [];
      if (known !== undefined && known.observedAt >= observedAt) return [];
      const requestsPerSecond = report.type === 'limit' ? report.requestsPerSecond : undefined;
      return this.setLimit(report.upstream, { requestsPerSecond, observedAt, isOwn: false }, now);
    });
  }

  /** Gets what recent answers to this host said, for its peers. */
  getReports(now: Millis): readonly UpstreamReport[] {
    return [...this.constraints].flatMap(([upstream, constraint]) =>
      reportsOf(upstream, constraint, now),
    );
  }

  /** Tells whether an upstream has said that it is leaving. */
  isLeaving(upstream: UpstreamId): boolean {
    return this.constraints.get(upstream)?.leavingSince !== undefined;
  }

  /** Tells whether an upstream has asked this host for rest that has not ended. */
  isResting(upstream: UpstreamId, now: Millis): boolean {
    return this.getRestMs(upstream, now) > 0;
  }

  /** Gets how long an upstream wants no request from this host, in milliseconds; 0 where it asks for no rest. */
  getRestMs(upstream: UpstreamId, now: Millis): Millis {
    return Math.max(0, this.restEnd(upstream) - now);
  }

  /**
   * Gets how many requests this host may send to an upstream now.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns Number of requests; infinite for an upstream that has asked for nothing.
   */
  allowance(upstream: UpstreamId, now: Millis): number {
    if (this.isLeaving(upstream) || this.isResting(upstream, now)) return 0;
    const limit = this.limitOf(upstream);
    if (limit === undefined) return Infinity;
    const frame = this.frameAt(now);
    const permits = permitsInFrame(this.positionFor(upstream), limit, frame);
    return Math.max(0, permits - this.spentIn(upstream, frame));
  }

  /**
   * Gets when this host may send to an upstream.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns The next openings in order, none for an upstream that is leaving; undefined for an upstream
   *   that has asked for nothing.
   */
  openings(upstream: UpstreamId, now: Millis): readonly Opening[] | undefined {
    if (this.isLeaving(upstream)) return [];
    const limit = this.limitOf(upstream);
    const from = Math.max(now, this.restEnd(upstream));
    if (limit === undefined) return from > now ? [{ at: from, requests: Infinity }] : undefined;
    const originMs = now - this.options.toTimeOfDay(now);
    return nextPermits(this.positionFor(upstream), limit, this.frameAt(from), MAX_OPENINGS)
      .map(({ frame, permits }) => ({
        at: Math.max(from, frame * LIMIT_FRAME_MS + originMs),
        requests: permits - this.spentIn(upstream, frame),
      }))
      .filter(({ requests }) => requests > 0);
  }

  /** Tells whether no recent answer has confirmed the limit of an upstream; false where it has none. */
  needsConfirmation(upstream: UpstreamId, now: Millis): boolean {
    const limit = this.constraints.get(upstream)?.limit;
    return limit?.requestsPerSecond !== undefined && now - limit.observedAt > LIMIT_CONFIRM_MS;
  }

  /** Counts a request of this host against the limit of an upstream, if it has one. */
  recordRequest(upstream: UpstreamId, now: Millis): void {
    if (this.limitOf(upstream) === undefined) return;
    const frame = this.frameAt(now);
    const requests = this.spentIn(upstream, frame) + 1;
    this.update(upstream, { spent: { frame, requests } });
  }

  /** Drops what an upstream has asked for: another process has started under its name. */
  forget(upstream: UpstreamId): void {
    this.constraints.delete(upstream);
  }

  /** Drops upstreams that are not listed and have said nothing for a while. */
  retain(listed: ReadonlySet<UpstreamId>, now: Millis): void {
    [...this.constraints]
      .filter(([id, { heardAt }]) => !listed.has(id) && now - heardAt > UNLISTED_RETENTION_MS)
      .forEach(([id]) => this.constraints.delete(id));
  }

  /**
   * Describes what an upstream asks for, with its age.
   *
   * @param upstream - The upstream.
   * @param now - Present time.
   * @returns A short text for logs; undefined for an upstream that has asked for nothing.
   */
  describe(upstream: UpstreamId, now: Millis): string | undefined {
    return describeConstraint(this.constraints.get(upstream) ?? UNCONSTRAINED, now);
  }

  /** Describes what several upstreams ask for; see {@link UpstreamConstraints.describe}. */
  describeAll(upstreams: readonly UpstreamId[], now: Millis): string {
    return upstreams
      .flatMap((id) => {
        const text = this.describe(id, now);
        return text === undefined ? [] : [`${id}: ${text}`];
      })
      .join('; ');
  }

  /** Gets what each upstream asks for, for the state dump. */
  dump(now: Millis): Readonly<Record<UpstreamId, string>> {
    return Object.fromEntries(
      [...this.constraints.keys()].flatMap((id) => {
        const text = this.describe(id, now);
        return text === undefined ? [] : [[id, text]];
      }),
    );
  }

  private setLimit(
    upstream: UpstreamId,
    limit: LimitState,
    now: Millis,
  ): readonly ConstraintChange[] {
    const before = this.limitOf(upstream);
    const { requestsPerSecond, observedAt, isOwn } = limit;
    this.update(upstream, { limit, heardAt: now });
    if (before === requestsPerSecond) return [];
    const origin = { upstream, ageMs: now - observedAt, from: isOwn ? 'answer' : 'peer' } as const;
    return requestsPerSecond === undefined
      ? [{ type: 'limit_ended', ...origin }]
      : [{ type: 'limit_named', requestsPerSecond, ...origin }];
  }

  private setLeaving(
    upstream: UpstreamId,
    since: Millis,
    isOwn: boolean,
    now: Millis,
  ): readonly ConstraintChange[] {
    const known = this.constraints.get(upstream);
    const isLeavingOwn = isOwn || known?.isLeavingOwn === true;
    const leavingSince = known?.leavingSince ?? since;
    this.update(upstream, { leavingSince, isLeavingOwn, heardAt: now });
    if (known?.leavingSince !== undefined) return [];
    return [{ type: 'leaving', upstream, ageMs: now - since, from: isOwn ? 'answer' : 'peer' }];
  }

  private setRest(upstream: UpstreamId, restMs: Millis, now: Millis): readonly ConstraintChange[] {
    const before = this.restEnd(upstream);
    const givenMs = Math.min(MAX_REST_MS, restMs);
    if (now + givenMs <= before) return [];
    this.update(upstream, { restUntil: now + givenMs, heardAt: now });
    if (before > now) return [];
    return [{ type: 'rest', upstream, restMs: givenMs, ageMs: 0, from: 'answer' }];
  }

  private restEnd(upstream: UpstreamId): Millis {
    return this.constraints.get(upstream)?.restUntil ?? -Infinity;
  }

  private update(upstream: UpstreamId, change: Partial<Constraint>): void {
    const known = this.constraints.get(upstream) ?? UNCONSTRAINED;
    this.constraints.set(upstream, { ...known, ...change });
  }

  private limitOf(upstream: UpstreamId): number | undefined {
    return this.constraints.get(upstream)?.limit?.requestsPerSecond;
  }

  private spentIn(upstream: UpstreamId, frame: number): number {
    const spent = this.constraints.get(upstream)?.spent;
    return spent?.frame === frame ? spent.requests : 0;
  }

  private positionFor(upstream: UpstreamId): LimitSharer {
    const sharers = this.options.getSharers();
    if (sharers !== this.sharers) {
      this.sharers = sharers;
      this.positions.clear();
    }
    const known = this.positions.get(upstream);
    if (known !== undefined) return known;
    const position = limitSharer(upstream, this.options.self, sharers);
    this.positions.set(upstream, position);
    return position;
  }

  private frameAt(now: Millis): number {
    return Math.floor(this.options.toTimeOfDay(now) / LIMIT_FRAME_MS);
  }
}
