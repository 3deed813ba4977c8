import type { EngineRole, Millis, UpstreamId, ZoneId } from '@camphorvane/core';
import type { RoleSplit, SplitGrounds } from './RoleSplit.ts';
import { bestSplit, expectedLate } from './RoleSplit.ts';
import { DEMAND_SPAN_MS } from './DemandHistory.ts';

/** An engine as the shifter sees it. */
export interface ShiftableEngine {
  readonly id: UpstreamId;
  readonly zone: ZoneId;
  /** Its role; the one that it is changing to where it changes. */
  readonly role: EngineRole;
  readonly isChanging: boolean;
  /** Whether it failed when it was last used; it is not moved then, as it may not take the order. */
  readonly isFailing: boolean;
  /** What it carries, to be compared with engines of the same role. */
  readonly load: number;
}

/** What a decision was made on. */
export interface RoleForecast {
  readonly present: RoleSplit;
  readonly wanted: RoleSplit;
  /** Parts of the requests that are expected to be late with the present and the wanted split. */
  readonly lateNow: number;
  readonly lateThen: number;
  /** Requests that the forecast is made on. */
  readonly requests: number;
}

/** Why no engine is moved. */
export type StayReason =
  'little_demand' | 'engines_changed' | 'moving' | 'balanced' | 'not_lasting' | 'no_engine';

/** What is to be done about the roles. */
export type RoleDecision =
  | { readonly type: 'stay'; readonly reason: StayReason; readonly forecast?: RoleForecast }
  | {
      readonly type: 'move';
      readonly engines: readonly UpstreamId[];
      readonly role: EngineRole;
      readonly forecast: RoleForecast;
    };

/** What the shifter is asked with. */
export interface RoleView extends SplitGrounds {
  readonly engines: readonly ShiftableEngine[];
  /** Milliseconds for which an engine that changes its role does nothing. */
  readonly switchMs: Millis;
  /** Milliseconds by which this host holds back, since others are to act before it. */
  readonly holdBackMs: Millis;
}

/** Requests on which a forecast is made at least: with fewer, chance decides. */
const LEAST_REQUESTS = 16;

/** Milliseconds of demand on which a forecast is made at least. */
const LEAST_DEMAND_MS: Millis = 2_000;

/** Fewer late requests, as a part of all, for which a role is changed. */
const LEAST_GAIN = 0.04;

/**
 * Fewer late requests, as a part of those late now or of those on time, whichever are fewer, for which a
 * role is changed. Around the middle the forecast differs most from one burst to the next.
 */
const LEAST_GAIN_PART = 0.2;

/** Milliseconds for which a change must be wanted; a clump of requests is over by then. */
const LASTING_MS: Millis = 800;

/**
 * Milliseconds after a change of the engines in which none is moved. Most engines that crash are back
 * after some seconds, which is sooner than another one could take their place.
 */
const SETTLE_MS: Millis = 6_000;

/** Milliseconds that the last streams of a decode engine may take until it changes. */
const STREAM_MS: Millis = 6_000;

/** Milliseconds over which a change must pay for what is lost while it is made. */
const PAYBACK_MS: Millis = 30_000;

/** Part of a role's engines that may change at a time. */
const MOVED_PART = 0.25;

/**
 * Moves engines between prefill and decode to where requests would wait.
 *
 * Made for engines that are split otherwise than the work: decode memory is full and requests are late
 * while prefill engines idle, or the reverse when prompts grow. The forecast replays what was asked
 * lately, with more than that and with the loss of an engine. The harm it must not do: move to and fro
 * with each burst, each time losing an engine for seconds; take the last engine of a role; act on
 * demand of which it has seen too little.
 */
export class RoleShifter {
  private wanted: EngineRole | undefined;

  private wantedSince: Millis = 0;

  private engineNames = '';

  private changedAt: Millis = -Infinity;

  /**
   * Decides what is due.
   *
   * @param view - Engines and demand.
   * @param now - Present time.
   * @returns The engines to move now, or why none is moved.
   */
  decide(view: RoleView, now: Millis): RoleDecision {
    this.noteEngines(view.engines, now);
    const requests = view.spans.reduce((sum, span) => sum + span.requests, 0);
    if (requests < LEAST_REQUESTS || view.spans.length * DEMAND_SPAN_MS < LEAST_DEMAND_MS) {
      return this.stay('little_demand');
    }
    if (view.engines.some((engine) => engine.isChanging)) return this.stay('moving');
    if (now - this.changedAt < SETTLE_MS) return this.stay('engines_changed');
    const forecast = forecastOf(view, requests);
    const moved = forecast.wanted.prefillEngines - forecast.present.prefillEngines;
    if (moved === 0 || !isWorth(view, forecast)) return this.stay('balanced', forecast);
    return this.moveWhenLasting(view, forecast, now);
  }

  private moveWhenLasting(view: RoleView, forecast: RoleForecast, now: Millis): RoleDecision {
    const { present, wanted } = forecast;
    const role = wanted.prefillEngines > present.prefillEngines ? 'prefill' : 'decode';
    if (this.wanted !== role) {
      this.wanted = role;
      this.wantedSince = now;
    }
    if (now - this.wantedSince < LASTING_MS + view.holdBackMs) {
      return { type: 'stay', reason: 'not_lasting', forecast };
    }
    const engines = chooseMoved(
      view.engines,
      role,
      Math.abs(wanted.prefillEngines - present.prefillEngines),
    );
    if (engines.length === 0) return this.stay('no_engine', forecast);
    return { type: 'move', engines, role, forecast };
  }

  private stay(reason: StayReason, forecast?: RoleForecast): RoleDecision {
    this.wanted = undefined;
    return { type: 'stay', reason, forecast };
  }

  /** Notes when engines come, go, or end changing their role. */
  private noteEngines(engines: readonly ShiftableEngine[], now: Millis): void {
    const joined = engines
      .map(({ id }) => id)
      .sort()
      .join();
    if (joined !== this.engineNames && this.engineNames !== '') this.changedAt = now;
    this.engineNames = joined;
  }
}

function forecastOf(view: RoleView, requests: number): RoleForecast {
  const count = (role: EngineRole): number =>
    view.engines.filter((engine) => engine.role === role).length;
  const present = { prefillEngines: count('prefill'), decodeEngines: count('decode') };
  const wanted = bestSplit(view, present);
  const lateNow = expectedLate(view, present);
  return { present, wanted, lateNow, lateThen: expectedLate(view, wanted), requests };
}

/** Tells whether a change pays: engines that change their role are missing meanwhile. */
function isWorth(view: RoleView, { present, wanted, lateNow, lateThen }: RoleForecast): boolean {
  const gain = lateNow - lateThen;
  const leastGain = Math.min(lateNow, 1 - lateNow) * LEAST_GAIN_PART;
  if (gain < Math.max(LEAST_GAIN, leastGain)) return false;
  const meanwhile = {
    prefillEngines: Math.min(present.prefillEngines, wanted.prefillEngines),
    decodeEngines: Math.min(present.decodeEngines, wanted.decodeEngines),
  };
  const lost = Math.max(0, expectedLate(view, meanwhile) - lateNow);
  // A decode engine ends its streams before it changes.
  const awayMs = view.switchMs + (wanted.prefillEngines > present.prefillEngines ? STREAM_MS : 0);
  return gain * PAYBACK_MS > lost * awayMs;
}

/** Gets the engines that lose least by a change, from the zone that has most of their role. */
function chooseMoved(
  engines: readonly ShiftableEngine[],
  role: EngineRole,
  count: number,
): readonly UpstreamId[] {
  const givers = engines.filter((engine) => engine.role !== role);
  const inZone = (zone: ZoneId): number => givers.filter((engine) => engine.zone === zone).length;
  const most = Math.min(count, givers.length - 1, Math.ceil(givers.length * MOVED_PART));
  return givers
    .filter((engine) => !engine.isFailing)
    .sort((a, b) => inZone(b.zone) - inZone(a.zone) || a.load - b.load)
    .slice(0, Math.max(0, most))
    .map(({ id }) => id);
}
