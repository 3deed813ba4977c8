import type { Result } from 'neverthrow';

/** Gets the value, or fails the test with the error. */
export function valueOf<T, E>(result: Result<T, E>): T {
  if (result.isErr()) throw new Error(`unexpected error: ${JSON.stringify(result.error)}`);
  return result.value;
}

/** Gets the error, or fails the test with the value. */
export function errorOf<T, E>(result: Result<T, E>): E {
  if (result.isOk()) throw new Error(`unexpected value: ${JSON.stringify(result.value)}`);
  return result.error;
}
