import type { Clock, Millis } from '@camphorvane/core';
import type { Result, ResultAsync } from 'neverthrow';

/** Milliseconds after which a call is made once more; the store responds in a third of a second when it is slow. */
const HEDGE_DELAY_MS: Millis = 400;

/**
 * Makes a call, and makes it once more where its response is late. The first success counts.
 *
 * @param clock - Clock of the host.
 * @param call - Makes the call.
 * @returns The first success; the last failure where none succeeds.
 */
export function hedge<T, E>(clock: Clock, call: () => ResultAsync<T, E>): Promise<Result<T, E>> {
  return new Promise((resolve, reject) => {
    let pending = 0;
    let cancel = (): void => undefined;
    const settle = (result: Result<T, E>): void => {
      pending -= 1;
      if (result.isErr() && pending > 0) return;
      cancel();
      resolve(result);
    };
    const start = (): void => {
      pending += 1;
      call().then(settle, reject);
    };
    cancel = clock.after(HEDGE_DELAY_MS, start);
    start();
  });
}
