/** Controls for overload and uneven load. Each one takes effect only where it is switched on. */
export interface OverloadPolicy {
  /** Refuses requests that can't start in time, by their expected wait. */
  readonly admission: boolean;
  /** Tells refused callers when there will be capacity for them, and prefers those that return then. */
  readonly returnTurns: boolean;
  /** Orders waiting requests by what their teams use on all hosts. */
  readonly fairShares: boolean;
  /** Bounds the bytes that a host buffers for callers and upstreams. */
  readonly boundedBuffers: boolean;
  /** Chooses upstreams by the expected completion of the request. */
  readonly completionTimes: boolean;
  /** Moves running streams off engines that run out of memory, leave or turn slow. */
  readonly streamMoves: boolean;
  /** Keeps copies of running streams on other engines. */
  readonly streamBackups: boolean;
}

/** Policy of a deployment that switches nothing on. */
export const NO_OVERLOAD_POLICY: OverloadPolicy = {
  admission: false,
  returnTurns: false,
  fairShares: false,
  boundedBuffers: false,
  completionTimes: false,
  streamMoves: false,
  streamBackups: false,
};
