import assert from 'node:assert/strict';
import type { Result } from 'neverthrow';

/** Gets the value of a result, or fails the test with the error. */
export function valueOf<T, E>(result: Result<T, E>): T {
  if (result.isErr()) assert.fail(`expected a value, got ${JSON.stringify(result.error)}`);
  return result.value;
}

/** Gets the error of a result, or fails the test with the value. */
export function errorOf<T, E>(result: Result<T, E>): E {
  if (result.isOk()) assert.fail(`expected an error, got ${JSON.stringify(result.value)}`);
  return result.error;
}
