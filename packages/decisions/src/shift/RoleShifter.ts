import type { EngineRole, Millis, UpstreamId } from '@camphorvane/core';
import type { PoolPressure } from './PressureMeter.ts';

/** An engine as the shifter sees it. */
export interface ShiftableEngine {
  readonly id: UpstreamId;
  readonly role: EngineRole;
  /** Whether the engine is up; one that is down counts for nothing. */
  readonly up: boolean;
  /** Requests that it still carries; the order goes out at 0. */
  readonly holders: number;
}

/** What is to be done to an engine. Orders carry a fencing number, so that an old one is refused. */
export type ShiftDecision =
  | { readonly type: 'drain'; readonly engine: UpstreamId }
  | { readonly type: 'undrain'; readonly engine: UpstreamId }
  | {
      readonly type: 'order_role';
      readonly engine: UpstreamId;
      readonly role: EngineRole;
      readonly fence: number;
    };

/** Limits of a {@link RoleShifter}. */
export interface RoleShifterOptions {
  /** Share of time short of a role above which engines are moved to it. */
  readonly short: number;
  /** Share of time short of the other role above which none is taken from it. */
  readonly spare: number;
  /** Time for which the need must last. */
  readonly lastingMs: Millis;
  /** Time after a move before the next one is considered. */
  readonly pauseMs: Millis;
  /** Engines under way between roles at a time. */
  readonly mostAtOnce: number;
  /** Engines that each role keeps. */
  readonly leastInRole: number;
  /** Time after which a move that is not done is given up. */
  readonly giveUpMs: Millis;
}

/**
 * Short above a half and spare below a twentieth are far apart, so that one moved engine does not
 * ask for the move back. A need of fifteen seconds outlasts a burst. After a move the pause lets its
 * effect show. One engine at a time bounds the loss if the measure is wrong.
 */
export const DEFAULT_ROLE_SHIFTER: RoleShifterOptions = {
  short: 0.5,
  spare: 0.05,
  lastingMs: 15_000,
  pauseMs: 60_000,
  mostAtOnce: 1,
  leastInRole: 1,
  giveUpMs: 120_000,
};

interface Move {
  readonly role: EngineRole;
  readonly startedAt: Millis;
  readonly ordered: boolean;
}

/**
 * Moves engines between prefill and decode when work lasts that is short of one role only.
 *
 * Made for a day that turns from lookups to long reports, or for heat that took several engines of
 * one role. The harm it must not do: move to and fro with each burst, each time losing an engine's
 * caches and seconds of its work; take the last engine of a role; or cut the streams of the engine
 * that moves, which is therefore emptied first.
 */
export class RoleShifter {
  private readonly moves = new Map<UpstreamId, Move>();

  private readonly opts: RoleShifterOptions;

  private wanted: EngineRole | undefined;

  private wantedSince: Millis = 0;

  private quietUntil: Millis = -Infinity;

  /** @param opts - Limits; those not given have their defaults. */
  constructor(opts: Partial<RoleShifterOptions> = {}) {
    this.opts = { ...DEFAULT_ROLE_SHIFTER, ...opts };
  }

  /**
   * Decides what is due.
   *
   * @param engines - The pool's engines with their present roles.
   * @param pressure - What work has been short of.
   * @param fence - Fencing number of the steward that asks; it only grows.
   * @param now - Present time.
   */
  decide(
    engines: readonly ShiftableEngine[],
    pressure: PoolPressure,
    fence: number,
    now: Millis,
  ): readonly ShiftDecision[] {
    return [
      ...this.settle(engines, now),
      ...this.order(engines, fence),
      ...this.begin(engines, pressure, now),
    ];
  }

  /** Ends moves that are done, whose engine has gone, or that take too long. */
  private settle(engines: readonly ShiftableEngine[], now: Millis): readonly ShiftDecision[] {
    return [...this.moves].flatMap(([id, move]) => {
      const engine = engines.find((other) => other.id === id);
      const done = engine?.role === move.role;
      const late = now - move.startedAt > this.opts.giveUpMs;
      if (engine !== undefined && !done && !late) return [];
      this.moves.delete(id);
      this.quietUntil = now + this.opts.pauseMs;
      return [{ type: 'undrain', engine: id } as const];
    });
  }

  private order(engines: readonly ShiftableEngine[], fence: number): readonly ShiftDecision[] {
    return engines.flatMap(({ id, holders }) => {
      const move = this.moves.get(id);
      if (move === undefined || move.ordered || holders > 0) return [];
      this.moves.set(id, { ...move, ordered: true });
      return [{ type: 'order_role', engine: id, role: move.role, fence } as const];
    });
  }

  private begin(
    engines: readonly ShiftableEngine[],
    pressure: PoolPressure,
    now: Millis,
  ): readonly ShiftDecision[] {
    const role = this.getShortRole(pressure);
    if (role !== this.wanted) {
      this.wanted = role;
      this.wantedSince = now;
    }
    const ripe = now - this.wantedSince >= this.opts.lastingMs && now >= this.quietUntil;
    if (role === undefined || !ripe || this.moves.size >= this.opts.mostAtOnce) return [];
    const staying = engines.filter(({ id, up }) => up && !this.moves.has(id));
    const givers = staying.filter((engine) => engine.role !== role);
    if (givers.length <= this.opts.leastInRole) return [];
    const chosen = givers.reduce((best, next) => (next.holders < best.holders ? next : best));
    this.moves.set(chosen.id, { role, startedAt: now, ordered: false });
    return [{ type: 'drain', engine: chosen.id }];
  }

  private getShortRole(pressure: PoolPressure): EngineRole | undefined {
    const { short, spare } = this.opts;
    if (pressure.prefill > short && pressure.decode < spare) return 'prefill';
    if (pressure.decode > short && pressure.prefill < spare) return 'decode';
    return undefined;
  }
}
