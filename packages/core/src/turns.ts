/**
 * Waits until each connection that has something to read or to accept has been looked at once.
 *
 * The first callback runs before the next poll of the connections, the second one after it.
 */
export function untilPolled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
