import type { Refusal } from './Refusal.ts';

/**
 * What buffered bytes are: the body of a caller's request, a response that is read whole, what is read
 * ahead of a stream, or a request body that an upstream holds.
 */
export type BufferKind = 'request' | 'response' | 'stream' | 'sent';

/** Whom buffered bytes are held for. */
export interface BufferOwner {
  /** The caller's connection for the kind `request`, else the upstream. */
  readonly owner: string;
  /** Id of the request, for the log. */
  readonly request: string | undefined;
}

/** Bytes that are reserved until released. */
export interface Reservation {
  /**
   * Reserves further bytes.
   *
   * @param bytes - How many.
   * @returns False, and nothing changes, where there is no room for them.
   */
  tryGrow(bytes: number): boolean;

  /** Returns all bytes; idempotent. */
  release(): void;
}

/** The room of a body that is being read. */
export interface ArrivingReservation extends Reservation {
  /** Records that so many bytes of the body have arrived. */
  recordProgress(bytes: number): void;

  /** Records that the body is whole, so that it makes way for no other. */
  recordWhole(): void;
}

/** A reservation that is not counted. */
export const UNCOUNTED_RESERVATION: Reservation = {
  tryGrow: () => true,
  release: () => undefined,
};

/** Bounds the bytes that a host buffers for callers and upstreams. */
export interface Buffers {
  /**
   * Tells whether the configuration in force also has the host read from upstreams at the pace of callers, and bounds
   * what an upstream holds.
   */
  isBounded(): boolean;

  /**
   * Reserves bytes.
   *
   * @param kind - What the bytes are.
   * @param owner - Whom they are held for.
   * @param bytes - How many.
   * @returns The reservation; undefined where there is no room.
   */
  tryReserve(kind: BufferKind, owner: BufferOwner, bytes: number): Reservation | undefined;

  /**
   * Reserves bytes for the body of a request that is to be read.
   *
   * @param owner - Whom they are held for.
   * @param bytes - How many.
   * @param evict - Ends the reading and releases the room; called where the body arrives too slowly to keep it from others.
   * @returns The reservation; undefined where there is no room.
   */
  tryReserveBody?(
    owner: BufferOwner,
    bytes: number,
    evict: () => void,
  ): ArrivingReservation | undefined;

  /**
   * Creates the refusal of a request that there is no room for.
   *
   * @param bytes - Size of its body, as far as known.
   * @returns The refusal, with execution `not_run`.
   */
  refusal(bytes: number): Refusal;

  /** Records that a caller was cut off, since it read nothing for the idle timeout. */
  recordCutOff(caller: BufferOwner): void;
}
