/**
 * Waits for SIGTERM or SIGINT.
 *
 * The listeners stay: without one, a further signal would end the process at once, with all requests in flight.
 *
 * @returns A promise that resolves at the first of these signals.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}
