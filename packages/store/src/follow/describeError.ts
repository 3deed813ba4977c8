/**
 * Gets the reason of a failed call to the store.
 *
 * @param error - The error of the call.
 * @returns Its message, or its type where it has none.
 */
export function describeError(error: { readonly type: string; readonly message?: string }): string {
  return error.message ?? error.type;
}
