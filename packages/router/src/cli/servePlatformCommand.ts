import { sleep, SystemClock } from '@camphorvane/core';
import { EXIT } from '@camphorvane/operator/exit';
import type { PlatformSettings } from '@camphorvane/platform';
import { SETTINGS_VARIABLE } from '@camphorvane/platform';
import { startPlatformHost } from '../host/PlatformHost.ts';
import { RateLimitedLog } from '../observe/RateLimitedLog.ts';
import { setLogOutput, eventLog } from '../observe/EventLog.ts';
import { stdoutSink } from '../observe/stdoutSink.ts';
import { VERSION } from '../version.ts';
import { onHangup } from './hangups.ts';
import { awaitSettings, readSettings } from './platformSettings.ts';
import { finishWithoutFault, waitForEnd } from './waitForEnd.ts';

const log = eventLog('process');

/**
 * Runs a host on the users' platform until a signal or an uncaught fault ends it.
 *
 * @param file - Path of the platform's settings file; by default from its environment variable.
 */
export async function servePlatform(
  file: string | undefined = process.env[SETTINGS_VARIABLE],
): Promise<void> {
  const sink = stdoutSink();
  const clock = new SystemClock();
  setLogOutput(new RateLimitedLog(clock, sink));
  const settings = await awaitSettings(file, clock);
  if (settings.isErr()) {
    settings.error.forEach((problem) => process.stderr.write(`${file ?? ''}: ${problem}\n`));
    process.exitCode = EXIT.invalid;
    return;
  }
  const started = await startPlatformHost(settings.value);
  if (started.isErr()) {
    process.stderr.write(`${started.error}\n`);
    process.exitCode = EXIT.invalid;
    return;
  }
  log('start', { host: settings.value.host, version: VERSION });
  onHangup(() => logReload(file, settings.value));
  const reason = await waitForEnd();
  const { host, getDelivery } = started.value;
  const stopsAt = clock.now();
  const { inFlight } = host.status();
  log('stop_begins', { host: settings.value.host, reason, inFlight, ...getDelivery() });
  // A drain that a fault keeps from ending must not keep the process from being started again.
  const graceEnd = sleep(clock, settings.value.graceMs).then(() => false);
  const isDrained = await Promise.race([finishWithoutFault(started.value.drain()), graceEnd]);
  const cutOff = await started.value.cutOff();
  const tookMs = Math.round(clock.now() - stopsAt);
  log('stop', { host: settings.value.host, cutOff, ...getDelivery(), tookMs });
  await sink.flush();
  process.exit(isDrained && reason === 'asked' ? EXIT.ok : EXIT.failed);
}

/**
 * Logs whether the settings have changed. Addresses and limits are fixed for the lifetime of a process;
 * changes take effect at its next start.
 */
function logReload(file: string | undefined, previous: PlatformSettings): void {
  const current = readSettings(file);
  if (current.isErr()) {
    log('reload', { outcome: 'unreadable', problem: current.error.join('; ') });
    return;
  }
  const isUnchanged = JSON.stringify(current.value) === JSON.stringify(previous);
  log('reload', { outcome: isUnchanged ? 'unchanged' : 'taken_at_next_start' });
}
