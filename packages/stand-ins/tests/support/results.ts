import type { Result } from 'neverthrow';

/** Gets the value of a result, or fails the test. */
export function valueOf<T, E>(result: Result<T, E>): T {
  if (result.isErr()) throw new Error(`unexpected error ${JSON.stringify(result.error)}`);
  return result.value;
}

/** Gets the error of a result, or fails the test. */
export function errorOf<T, E>(result: Result<T, E>): E {
  if (result.isOk()) throw new Error(`unexpected value ${JSON.stringify(result.value)}`);
  return result.error;
}
