import type { Millis } from './Clock.ts';

/**
 * What an answer tells of the process that gave it.
 *
 * - `process`: the answer names the start of its process.
 * - `id`: the call named the upstream, and another one at its address would have refused it.
 * - `address`: nothing shows whether the next process at the address has answered.
 */
export type AnswerOrigin =
  | { readonly type: 'process'; readonly startedAt: Millis; readonly askedAt: Millis }
  | { readonly type: 'id' | 'address'; readonly askedAt: Millis };

/** What an upstream tells its clients about itself in one answer. */
export interface UpstreamSignals {
  /** Requests a second that it takes from all hosts together; undefined where it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /**
   * Whether a limit that the answer doesn't name has ended. False for answers that may lack it for another
   * reason, such as those to control calls.
   */
  readonly endsLimit: boolean;
  /** Whether it is about to stop, and wants no new requests. */
  readonly leaving: boolean;
  /** Milliseconds for which it wants no request from this host; undefined where it asks for no rest. */
  readonly restMs: Millis | undefined;
  /** Which process gave the answer, and when it was asked; absent where nobody needs to know. */
  readonly origin?: AnswerOrigin;
}

/** Signals of a successful answer that asks for nothing. */
export const NO_SIGNALS: UpstreamSignals = {
  requestsPerSecond: undefined,
  endsLimit: true,
  leaving: false,
  restMs: undefined,
};
