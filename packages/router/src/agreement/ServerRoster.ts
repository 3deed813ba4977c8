import type { Millis, UpstreamId } from '@camphorvane/core';
import type { ServerRecord } from '@camphorvane/store';

/**
 * Milliseconds for which a server that is missing after an outage of the store is still used. The
 * store may have dropped entries that it could not renew meanwhile; a server that lives writes its
 * entry again within about two seconds of the store's return.
 */
const RETURN_GRACE_MS: Millis = 2_300;

/** Milliseconds of absence from which entries may have lapsed; heartbeats are about a second apart. */
const LAPSE_AFTER_MS: Millis = 1_000;

/**
 * Knows which servers may get work.
 *
 * Made for outages of the store: entries that lapse while it is away would leave a host without
 * servers at the moment of its return, and every caller would be refused although all servers live.
 */
export class ServerRoster {
  private servers: ReadonlyMap<UpstreamId, ServerRecord> = new Map();

  /** Servers that were missing after the last outage. */
  private missing: ReadonlyMap<UpstreamId, ServerRecord> = new Map();

  private graceUntil: Millis = 0;

  /**
   * Takes in what the store lists now.
   *
   * @param listed - All servers that the store lists.
   * @param awayMs - Milliseconds for which the store gave no answer before.
   * @param now - Present time.
   */
  update(listed: readonly ServerRecord[], awayMs: Millis, now: Millis): void {
    const next = new Map(listed.map((server) => [server.id, server]));
    const isReturn = awayMs >= LAPSE_AFTER_MS;
    if (isReturn) this.graceUntil = now + RETURN_GRACE_MS;
    // What vanishes after the first list since the outage has not lapsed: it was taken out.
    const kept = isReturn ? new Map([...this.missing, ...this.servers]) : this.missing;
    const isGrace = now < this.graceUntil;
    this.missing = isGrace
      ? new Map([...kept].filter(([id, server]) => !next.has(id) && !server.leaving))
      : new Map();
    this.servers = next;
  }

  /** Gets all servers that may get work, and those that are leaving. */
  list(now: Millis): readonly ServerRecord[] {
    const missing = now < this.graceUntil ? [...this.missing.values()] : [];
    return [...this.servers.values(), ...missing];
  }

  /** Gets when the list changes by time alone, if it does. */
  nextChange(now: Millis): Millis | undefined {
    return this.missing.size > 0 && now < this.graceUntil ? this.graceUntil : undefined;
  }
}
