import type { EngineRole, Millis, UpstreamId, ZoneId } from '@camphorvane/core';
import type { RoleSplit, SplitInputs } from './RoleSplit.ts';
import { findBestSplit, getExpectedLateShare } from './RoleSplit.ts';
import { DEMAND_BUCKET_MS } from './DemandHistory.ts';

/** State of an engine that role decisions depend on. */
export interface EngineRoleState {
  readonly id: UpstreamId;
  readonly zone: ZoneId;
  /** Its role; its target role while it is changing. */
  readonly role: EngineRole;
  readonly isChanging: boolean;
  /** Whether the last attempt on it failed; it then keeps its role, as it may not accept the order. */
  readonly isFailing: boolean;
  /** Present load, comparable between engines of the same role. */
  readonly load: number;
}

/** Forecast that a decision is based on. */
export interface RoleForecast {
  readonly current: RoleSplit;
  readonly target: RoleSplit;
  /** Share of requests expected to be late with the current split, from 0 to 1. */
  readonly currentLateShare: number;
  /** Share of requests expected to be late with the target split, from 0 to 1. */
  readonly targetLateShare: number;
  /** Number of recorded requests that the forecast replays. */
  readonly requests: number;
}

/** Reason why no engine changes its role. */
export type StayReason =
  'little_demand' | 'engines_changed' | 'moving' | 'balanced' | 'not_lasting' | 'no_engine';

/** Decision about the roles of a pool. */
export type RoleDecision =
  | { readonly type: 'stay'; readonly reason: StayReason; readonly forecast?: RoleForecast }
  | {
      readonly type: 'move';
      readonly engines: readonly UpstreamId[];
      readonly role: EngineRole;
      readonly forecast: RoleForecast;
    };

/** Snapshot of a pool from which its roles are decided. */
export interface RoleView extends SplitInputs {
  readonly engines: readonly EngineRoleState[];
  /** Time for which an engine serves nothing while it changes its role. */
  readonly roleSwitchMs: Millis;
  /** Delay before this host acts, so that hosts of a higher rank act first. */
  readonly holdBackMs: Millis;
}

/** Minimum number of recorded requests for a forecast; fewer are not representative. */
const MIN_REQUESTS = 16;

/** Minimum length of the recorded demand for a forecast. */
const MIN_DEMAND_MS: Millis = 2_000;

/** Minimum reduction of late requests, as a share of all requests, for which engines change their role. */
const MIN_GAIN = 0.04;

/**
 * Minimum reduction of late requests, as a share of the late or of the on-time ones, whichever are
 * fewer. With about half of the requests late, the forecast varies most from burst to burst.
 */
const MIN_RELATIVE_GAIN = 0.2;

/** Time for which the same change must be favoured; a short burst is over by then. */
const CONFIRMATION_MS: Millis = 800;

/**
 * Time without role changes after an engine joined or left. Most crashed engines are back within
 * seconds, sooner than another engine could replace them.
 */
const SETTLE_MS: Millis = 6_000;

/** Time that a decode engine may take to finish its streams before it changes its role. */
const DECODE_DRAIN_MS: Millis = 6_000;

/** Period in which the gain of a change must outweigh the loss while engines change their role. */
const PAYBACK_MS: Millis = 30_000;

/** Maximum share of a role's engines that change their role at once. */
const MAX_CHANGED_SHARE = 0.25;

/**
 * Decides when engines change between the prefill and the decode role.
 *
 * Needed when the split of the engines doesn't match the demand: decode memory is full and requests
 * are late while prefill engines idle, or the reverse when prompts grow. The forecast replays recent
 * demand, also at higher levels and with lost engines. Decisions must not follow each burst, since a
 * role change takes an engine out of service for seconds; must leave each role at least one engine; and
 * must not rely on too little recorded demand.
 */
export class RoleRebalancer {
  private targetRole: EngineRole | undefined;

  private targetSince: Millis = 0;

  private engineIds = '';

  private membershipChangedAt: Millis = -Infinity;

  /**
   * Decides which engines change their role now.
   *
   * @param view - Snapshot of the pool.
   * @param now - Present time.
   * @returns The engines and their new role, or the reason why none changes.
   */
  decide(view: RoleView, now: Millis): RoleDecision {
    this.trackMembership(view.engines, now);
    const requests = view.buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    if (requests < MIN_REQUESTS || view.buckets.length * DEMAND_BUCKET_MS < MIN_DEMAND_MS) {
      return this.stay('little_demand');
    }
    if (view.engines.some((engine) => engine.isChanging)) return this.stay('moving');
    if (now - this.membershipChangedAt < SETTLE_MS) return this.stay('engines_changed');
    const forecast = makeForecast(view, requests);
    const change = forecast.target.prefillEngines - forecast.current.prefillEngines;
    if (change === 0 || !isWorthwhile(view, forecast)) return this.stay('balanced', forecast);
    return this.changeIfConfirmed(view, forecast, now);
  }

  private changeIfConfirmed(view: RoleView, forecast: RoleForecast, now: Millis): RoleDecision {
    const { current, target } = forecast;
    const role = target.prefillEngines > current.prefillEngines ? 'prefill' : 'decode';
    if (this.targetRole !== role) {
      this.targetRole = role;
      this.targetSince = now;
    }
    if (now - this.targetSince < CONFIRMATION_MS + view.holdBackMs) {
      return { type: 'stay', reason: 'not_lasting', forecast };
    }
    const engines = selectEngines(
      view.engines,
      role,
      Math.abs(target.prefillEngines - current.prefillEngines),
    );
    if (engines.length === 0) return this.stay('no_engine', forecast);
    return { type: 'move', engines, role, forecast };
  }

  private stay(reason: StayReason, forecast?: RoleForecast): RoleDecision {
    this.targetRole = undefined;
    return { type: 'stay', reason, forecast };
  }

  /** Records when engines last joined or left the pool. */
  private trackMembership(engines: readonly EngineRoleState[], now: Millis): void {
    const ids = engines
      .map(({ id }) => id)
      .sort()
      .join();
    if (ids !== this.engineIds && this.engineIds !== '') this.membershipChangedAt = now;
    this.engineIds = ids;
  }
}

function makeForecast(view: RoleView, requests: number): RoleForecast {
  const count = (role: EngineRole): number =>
    view.engines.filter((engine) => engine.role === role).length;
  const current = { prefillEngines: count('prefill'), decodeEngines: count('decode') };
  const target = findBestSplit(view, current);
  const currentLateShare = getExpectedLateShare(view, current);
  return {
    current,
    target,
    currentLateShare,
    targetLateShare: getExpectedLateShare(view, target),
    requests,
  };
}

/** Tells whether the gain of a change outweighs the capacity that is missing while it is made. */
function isWorthwhile(
  view: RoleView,
  { current, target, currentLateShare, targetLateShare }: RoleForecast,
): boolean {
  const gain = currentLateShare - targetLateShare;
  const minGain = Math.min(currentLateShare, 1 - currentLateShare) * MIN_RELATIVE_GAIN;
  if (gain < Math.max(MIN_GAIN, minGain)) return false;
  const duringChange = {
    prefillEngines: Math.min(current.prefillEngines, target.prefillEngines),
    decodeEngines: Math.min(current.decodeEngines, target.decodeEngines),
  };
  const loss = Math.max(0, getExpectedLateShare(view, duringChange) - currentLateShare);
  // A decode engine finishes its streams before it changes its role.
  const outageMs =
    view.roleSwitchMs + (target.prefillEngines > current.prefillEngines ? DECODE_DRAIN_MS : 0);
  return gain * PAYBACK_MS > loss * outageMs;
}

/** Selects engines for a new role from the zones with most engines of the other, least loaded first. */
function selectEngines(
  engines: readonly EngineRoleState[],
  role: EngineRole,
  count: number,
): readonly UpstreamId[] {
  const candidates = engines.filter((engine) => engine.role !== role);
  const inZone = (zone: ZoneId): number =>
    candidates.filter((engine) => engine.zone === zone).length;
  const limit = Math.min(
    count,
    candidates.length - 1,
    Math.ceil(candidates.length * MAX_CHANGED_SHARE),
  );
  return candidates
    .filter((engine) => !engine.isFailing)
    .sort((a, b) => inZone(b.zone) - inZone(a.zone) || a.load - b.load)
    .slice(0, Math.max(0, limit))
    .map(({ id }) => id);
}
