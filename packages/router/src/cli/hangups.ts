type Listener = () => void;

let listener: Listener | undefined;

let hasReceivedSignal = false;

// Without a listener SIGHUP ends the process, so that hosts would restart when operators change settings
// during their start. This module must therefore be loaded first.
process.on('SIGHUP', () => {
  hasReceivedSignal = true;
  listener?.();
});

/**
 * Sets the listener for SIGHUP, and calls it immediately if a signal was received before.
 *
 * @param run - The listener.
 */
export function onHangup(run: Listener): void {
  listener = run;
  if (hasReceivedSignal) run();
}
