type Listener = () => void;

let listener: Listener | undefined;

let hasCome = false;

// A process that has no listener yet is ended by the signal, and operators who change settings while
// hosts start would see some of them start anew. So this module is to be the first that is loaded.
process.on('SIGHUP', () => {
  hasCome = true;
  listener?.();
});

/**
 * Calls back with each SIGHUP from now on, and once for those that came while the process started.
 *
 * @param run - What to do.
 */
export function onHangup(run: Listener): void {
  listener = run;
  if (hasCome) run();
}
