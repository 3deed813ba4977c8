import type { UpstreamError } from '@camphorvane/upstream';

/** Ends a stream with the error of the engine at its far end. */
export class StreamFailure extends Error {
  /** @param error - What the engine's side says. */
  constructor(readonly error: UpstreamError) {
    super(error.message);
    this.name = 'StreamFailure';
  }
}
