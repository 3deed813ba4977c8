import type { Millis } from './Clock.ts';

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
}

/** Signals of a successful answer that asks for nothing. */
export const NO_SIGNALS: UpstreamSignals = {
  requestsPerSecond: undefined,
  endsLimit: true,
  leaving: false,
  restMs: undefined,
};
