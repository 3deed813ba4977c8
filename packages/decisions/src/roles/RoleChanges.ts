import type { EngineConfig, EngineRole, Millis, UpstreamId } from '@camphorvane/core';

/** A role change of an engine, as gossiped between hosts. */
export interface RoleChange {
  readonly engine: UpstreamId;
  readonly role: EngineRole;
  /** Milliseconds after which the engine counts as usable in any case; 0 revokes the change. */
  readonly leftMs: Millis;
}

interface PendingChange {
  readonly role: EngineRole;
  readonly until: Millis;
  /** Whether this host gave the order; only then is the change gossiped by it. */
  readonly isOwn: boolean;
}

/** Time for which a revoked order is gossiped, so that one or two lost datagrams don't matter. */
const REVOCATION_GOSSIP_MS: Millis = 1_000;

/**
 * The engines that are changing their role.
 *
 * The engine list shows the old role until the change is complete, while the engine refuses work.
 * Without this record, every host would go on sending it requests, which it would refuse for several
 * seconds after each order.
 */
export class RoleChanges {
  private readonly pending = new Map<UpstreamId, PendingChange>();

  /** Orders of this host that were revoked, and until when that is gossiped. */
  private readonly revoked = new Map<UpstreamId, { role: EngineRole; until: Millis }>();

  /** Records that this host orders an engine into a role. */
  begin(engine: UpstreamId, role: EngineRole, until: Millis): void {
    this.revoked.delete(engine);
    this.pending.set(engine, { role, until, isOwn: true });
  }

  /** Revokes an order that the engine did not accept. */
  revoke(engine: UpstreamId, now: Millis): void {
    const change = this.pending.get(engine);
    if (change === undefined) return;
    this.pending.delete(engine);
    this.revoked.set(engine, { role: change.role, until: now + REVOCATION_GOSSIP_MS });
  }

  /** Applies the role changes that a peer has ordered; this host's own orders take precedence. */
  receive(changes: readonly RoleChange[], now: Millis): void {
    changes.forEach(({ engine, role, leftMs }) => {
      const known = this.pending.get(engine);
      if (known?.isOwn === true) return;
      if (leftMs <= 0) this.pending.delete(engine);
      else this.pending.set(engine, { role, until: now + leftMs, isOwn: false });
    });
  }

  /** Drops changes that are complete, have timed out, or whose engine has left the pool. */
  prune(engines: readonly EngineConfig[], now: Millis): void {
    const roles = new Map(engines.map(({ id, role }) => [id, role]));
    [...this.pending]
      .filter(([id, { role, until }]) => until <= now || (roles.get(id) ?? role) === role)
      .forEach(([id]) => this.pending.delete(id));
    [...this.revoked]
      .filter(([, { until }]) => until <= now)
      .forEach(([id]) => this.revoked.delete(id));
  }

  /** Gets the role that an engine is changing to; undefined if it is not changing. */
  getTargetRole(engine: UpstreamId, now: Millis): EngineRole | undefined {
    const change = this.pending.get(engine);
    return change === undefined || change.until <= now ? undefined : change.role;
  }

  /** Gets the orders of this host, pending and revoked, to be gossiped to its peers. */
  getOwnChanges(now: Millis): readonly RoleChange[] {
    const pending = [...this.pending]
      .filter(([, { isOwn, until }]) => isOwn && until > now)
      .map(([engine, { role, until }]) => ({ engine, role, leftMs: until - now }));
    const revoked = [...this.revoked].map(([engine, { role }]) => ({ engine, role, leftMs: 0 }));
    return [...pending, ...revoked];
  }
}
