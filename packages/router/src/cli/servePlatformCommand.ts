import type { Millis } from '@camphorvane/core';
import { sleep, SystemClock } from '@camphorvane/core';
import { EXIT } from '@camphorvane/operator/exit';
import type { PlatformSettings } from '@camphorvane/platform';
import { SETTINGS_VARIABLE } from '@camphorvane/platform';
import { startPlatformHost } from '../host/PlatformHost.ts';
import type { PlatformHost } from '../host/PlatformHost.ts';
import { RateLimitedLog } from '../observe/RateLimitedLog.ts';
import { setLogOutput, eventLog } from '../observe/EventLog.ts';
import { stdoutSink } from '../observe/stdoutSink.ts';
import type { FlushableSink } from '../observe/stdoutSink.ts';
import { VERSION } from '../version.ts';
import { onHangup } from './hangups.ts';
import { awaitSettings, readSettings } from './platformSettings.ts';
import { finishWithoutFault, waitForEnd } from './waitForEnd.ts';
import type { EndReason } from './waitForEnd.ts';

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
  await stopInTime(started.value, settings.value, reason, sink);
}

/** Stops the host and ends the process before the platform does, whatever keeps the host from stopping in order. */
async function stopInTime(
  running: PlatformHost,
  { host: name, graceMs }: PlatformSettings,
  reason: EndReason,
  sink: FlushableSink,
): Promise<void> {
  const clock = new SystemClock();
  const startedAt = clock.now();
  const { inFlight } = running.host.status();
  log('stop_begins', { host: name, reason, inFlight, ...running.getDelivery() });
  const leftMs = (): Millis => Math.max(0, startedAt + graceMs - clock.now());
  const graceEnd = sleep(clock, graceMs).then(() => undefined);
  const drained = await Promise.race([finishWithoutFault(running.drain()), graceEnd]);
  const cut = drained ?? (await running.cutOff());
  log('stop', { host: name, ...cut, tookMs: Math.round(clock.now() - startedAt) });
  await sink.flush();
  // What has arrived in the meantime is refused, and its lines are written.
  await Promise.race([running.untilDelivered(), sleep(clock, leftMs())]);
  await sink.flush(leftMs());
  process.exit(drained !== undefined && reason === 'asked' ? EXIT.ok : EXIT.failed);
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
