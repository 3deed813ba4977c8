import type { BufferKind, Reservation } from '@camphorvane/core';

/** Part of a host's memory that buffers may take; the rest is for the heap and for sockets. */
const TOTAL_FRACTION = 1 / 4;

/** Part of the total that one caller connection may hold. */
const CALLER_FRACTION = 1 / 16;

/** Part of the total that may be held for one upstream, and that may be in flight to one. */
const UPSTREAM_FRACTION = 1 / 4;

/**
 * Part of the total that each kind may take. Responses and streams wait for slow callers, so without a
 * bound of their own they would leave no room for the requests of others. Bodies that upstreams hold are
 * counted as requests already.
 */
const KIND_FRACTIONS: Readonly<Record<BufferKind, number>> = {
  request: 1,
  response: 1 / 2,
  stream: 1 / 4,
  sent: Infinity,
};

const BYTES_PER_MB = 1024 * 1024;

/** Accounts for the bytes that a host buffers: in total, by kind, by caller connection and by upstream. */
export class BufferBudget {
  readonly totalBound: number;

  private total = 0;

  private readonly byKind = new Map<BufferKind, number>();

  private readonly byOwner = new Map<string, number>();

  /** @param memoryMb - Memory limit of the host. */
  constructor(memoryMb: number) {
    this.totalBound = Math.floor(memoryMb * BYTES_PER_MB * TOTAL_FRACTION);
  }

  /**
   * Reserves bytes where the bounds leave room for them.
   *
   * @param kind - What the bytes are.
   * @param owner - Caller connection or upstream.
   * @param bytes - How many.
   * @returns The reservation; undefined where there is no room.
   */
  tryReserve(kind: BufferKind, owner: string, bytes: number): Reservation | undefined {
    if (!this.hasRoom(kind, owner, 0, bytes)) return undefined;
    this.add(kind, owner, bytes);
    let held = bytes;
    let released = false;
    return {
      tryGrow: (more) => {
        if (released || !this.hasRoom(kind, owner, held, more)) return false;
        this.add(kind, owner, more);
        held += more;
        return true;
      },
      release: () => {
        released = true;
        this.add(kind, owner, -held);
        held = 0;
      },
    };
  }

  /** Gets the bytes that are reserved, except bodies that upstreams hold. */
  getTotal(): number {
    return this.total;
  }

  /** Gets the reserved bytes of one kind. */
  getBytes(kind: BufferKind): number {
    return this.byKind.get(kind) ?? 0;
  }

  /** Gets the number of callers and upstreams with reserved bytes. */
  countOwners(): number {
    return this.byOwner.size;
  }

  /**
   * Checks all bounds. The bound of an owner applies only beside another reservation of that owner: a body
   * that is larger than the bound, but allowed, could otherwise never be sent.
   */
  private hasRoom(kind: BufferKind, owner: string, held: number, more: number): boolean {
    const others = (this.byOwner.get(ownerKey(kind, owner)) ?? 0) - held;
    if (others > 0 && others + held + more > this.ownerBound(kind)) return false;
    if (this.getBytes(kind) + more > this.totalBound * KIND_FRACTIONS[kind]) return false;
    return kind === 'sent' || this.total + more <= this.totalBound;
  }

  private ownerBound(kind: BufferKind): number {
    return this.totalBound * (kind === 'request' ? CALLER_FRACTION : UPSTREAM_FRACTION);
  }

  private add(kind: BufferKind, owner: string, bytes: number): void {
    const key = ownerKey(kind, owner);
    const ofOwner = (this.byOwner.get(key) ?? 0) + bytes;
    if (ofOwner > 0) this.byOwner.set(key, ofOwner);
    else this.byOwner.delete(key);
    this.byKind.set(kind, this.getBytes(kind) + bytes);
    if (kind !== 'sent') this.total += bytes;
  }
}

/** What a host holds for an upstream, and what the upstream holds for the host, are bounded apart. */
function ownerKey(kind: BufferKind, owner: string): string {
  switch (kind) {
    case 'request':
      return `caller ${owner}`;
    case 'response':
    case 'stream':
      return `from ${owner}`;
    case 'sent':
      return `to ${owner}`;
    default:
      return kind satisfies never;
  }
}
