import type { EngineConfig, EngineRole, Millis, UpstreamId } from '@camphorvane/core';

/** An engine that changes its role, as hosts tell each other. */
export interface EngineMove {
  readonly engine: UpstreamId;
  readonly role: EngineRole;
  /** Milliseconds after which it counts as usable again in any case; 0 takes the news back. */
  readonly leftMs: Millis;
}

interface Move {
  readonly role: EngineRole;
  readonly until: Millis;
  /** Whether this host gave the order, and tells the others. */
  readonly isOwn: boolean;
}

/** Milliseconds for which hosts are told that an order was taken back; a lost datagram or two don't matter. */
const TAKEN_BACK_MS: Millis = 1_000;

/**
 * Knows which engines are changing their role.
 *
 * The list of engines shows the old role until a change is complete, and the engine refuses work
 * meanwhile. Without this, each host would send it prompts for as long as the change takes; one would
 * notice it as refusals of one engine for some seconds after each order.
 */
export class EngineMoves {
  private readonly moves = new Map<UpstreamId, Move>();

  /** Orders that were taken back, and until when others are told. */
  private readonly takenBack = new Map<UpstreamId, { role: EngineRole; until: Millis }>();

  /** Notes that this host orders an engine into a role. */
  begin(engine: UpstreamId, role: EngineRole, until: Millis): void {
    this.takenBack.delete(engine);
    this.moves.set(engine, { role, until, isOwn: true });
  }

  /** Notes that the engine did not take the order. */
  takeBack(engine: UpstreamId, now: Millis): void {
    const move = this.moves.get(engine);
    if (move === undefined) return;
    this.moves.delete(engine);
    this.takenBack.set(engine, { role: move.role, until: now + TAKEN_BACK_MS });
  }

  /** Takes in what a peer says of the engines that it has ordered. */
  receive(heard: readonly EngineMove[], now: Millis): void {
    heard.forEach(({ engine, role, leftMs }) => {
      const known = this.moves.get(engine);
      if (known?.isOwn === true) return;
      if (leftMs <= 0) this.moves.delete(engine);
      else this.moves.set(engine, { role, until: now + leftMs, isOwn: false });
    });
  }

  /** Ends the moves that are complete, took too long, or whose engine has gone. */
  settle(engines: readonly EngineConfig[], now: Millis): void {
    const roles = new Map(engines.map(({ id, role }) => [id, role]));
    [...this.moves]
      .filter(([id, { role, until }]) => until <= now || (roles.get(id) ?? role) === role)
      .forEach(([id]) => this.moves.delete(id));
    [...this.takenBack]
      .filter(([, { until }]) => until <= now)
      .forEach(([id]) => this.takenBack.delete(id));
  }

  /** Gets the role that an engine is changing to; undefined for one that is not. */
  roleOf(engine: UpstreamId, now: Millis): EngineRole | undefined {
    const move = this.moves.get(engine);
    return move === undefined || move.until <= now ? undefined : move.role;
  }

  /** Gets what peers are to be told: the orders of this host. */
  getOwn(now: Millis): readonly EngineMove[] {
    const moving = [...this.moves]
      .filter(([, { isOwn, until }]) => isOwn && until > now)
      .map(([engine, { role, until }]) => ({ engine, role, leftMs: until - now }));
    const back = [...this.takenBack].map(([engine, { role }]) => ({ engine, role, leftMs: 0 }));
    return [...moving, ...back];
  }
}
