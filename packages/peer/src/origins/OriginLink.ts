import type { ModelId, RequestId } from '@camphorvane/core';
import type { StreamOrigin } from '@camphorvane/decisions';

/** What a peer knows of the software version that began a stream. */
export interface OriginAnswer {
  /** The version; undefined where the peer does not know it. */
  readonly version: string | undefined;
  /** The pool whose version it is; absent where the peer was not told, or runs an earlier program. */
  readonly pool?: ModelId;
  /** Whether the peer was told, or else takes it for the only version that there was. */
  readonly isTold: boolean;
}

/** Answers a peer that asks which version began a stream of a pool. */
export type OriginSource = (id: RequestId, model: ModelId) => OriginAnswer;

/** Tells peers which software version began a stream, and asks them. */
export interface OriginLink {
  /** Tells peers; delivery is not confirmed. */
  tell(origins: readonly StreamOrigin[], to: readonly string[]): void;

  /** Registers a listener for what peers tell. */
  onTold(listener: (origins: readonly StreamOrigin[]) => void): void;

  /** Sets what answers the questions of peers. */
  setSource(source: OriginSource): void;

  /**
   * Asks a peer.
   *
   * @param address - Address (`ip:port`) of the peer.
   * @param id - Id of the attempt that brought the first event.
   * @param model - The pool.
   * @returns Its answer; undefined where it does not answer in time, or runs a program that knows no versions.
   */
  ask(address: string, id: RequestId, model: ModelId): Promise<OriginAnswer | undefined>;
}
