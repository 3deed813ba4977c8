import type { HostId, Millis, ModelId, RequestId } from '@camphorvane/core';
import { rendezvousOrder } from '@camphorvane/core';

/**
 * Milliseconds for which the origin of a stream is kept after it was last told. Callers wait a quarter of a minute,
 * counted from their first attempt, and take a stream up within that.
 */
export const ORIGIN_TTL_MS: Millis = 30_000;

/** Most origins that a host keeps, about 100 bytes each; with more, the oldest ones are dropped. */
export const MAX_ORIGINS = 20_000;

/** Peers that are told the origin of a stream: it is known after its own host and two of them are lost. */
const TOLD_PEERS = 4;

/** Peers that are asked; more than are told, since hosts differ in which peers they take for alive. */
const ASKED_PEERS = 6;

/** What brought the first event of a stream. */
export interface Origin {
  readonly version: string;
  /** The pool whose version it is; absent where a host of an earlier program has told. */
  readonly pool?: ModelId;
}

/** The origin of a stream. */
export interface StreamOrigin extends Origin {
  /** Id of the caller's attempt that brought the first event. */
  readonly id: RequestId;
}

/** A kept origin. */
export interface KeptOrigin extends Origin {
  readonly toldAt: Millis;
}

/** Origins of streams, of this host and of peers, bounded in number and in time. */
export class StreamOrigins {
  /** In order of the time at which they were last told. */
  private readonly origins = new Map<RequestId, KeptOrigin>();

  /** Gets the number of origins. */
  get size(): number {
    return this.origins.size;
  }

  /** Keeps an origin, or keeps it for longer. The first one that was told stays: a first event comes once. */
  keep({ id, ...told }: StreamOrigin, now: Millis): void {
    const known = this.origins.get(id);
    this.origins.delete(id);
    this.origins.set(id, { ...told, ...known, toldAt: now });
    this.dropOld(now);
  }

  /** Gets the origin of a stream; undefined where it is not known. */
  get(id: RequestId, now: Millis): KeptOrigin | undefined {
    const known = this.origins.get(id);
    return known === undefined || now - known.toldAt > ORIGIN_TTL_MS ? undefined : known;
  }

  private dropOld(now: Millis): void {
    let oldest = this.origins.entries().next().value;
    while (oldest !== undefined && this.isExcess(oldest[1], now)) {
      this.origins.delete(oldest[0]);
      oldest = this.origins.entries().next().value;
    }
  }

  private isExcess({ toldAt }: KeptOrigin, now: Millis): boolean {
    return this.origins.size > MAX_ORIGINS || now - toldAt > ORIGIN_TTL_MS;
  }
}

/**
 * Gets the peers that are told the origin of a stream.
 *
 * @param id - Id of the attempt that brought the first event.
 * @param peers - The live peers.
 * @returns Those to tell, the same on each host that knows the same peers.
 */
export function peersToTell(id: RequestId, peers: readonly HostId[]): readonly HostId[] {
  return rendezvousOrder(id, peers).slice(0, TOLD_PEERS);
}

/**
 * Gets the peers that are asked for the origin of a stream.
 *
 * @param id - Id of the attempt that brought the first event.
 * @param peers - The live peers.
 * @returns Those to ask, the likeliest first.
 */
export function peersToAsk(id: RequestId, peers: readonly HostId[]): readonly HostId[] {
  return rendezvousOrder(id, peers).slice(0, ASKED_PEERS);
}
