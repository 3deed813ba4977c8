import { readFileSync } from 'node:fs';
import { SystemClock } from '@camphorvane/core';
import { EXIT } from '@camphorvane/operator/exit';
import type { PlatformSettings } from '@camphorvane/platform';
import { parsePlatformSettings, SETTINGS_VARIABLE } from '@camphorvane/platform';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { startPlatformHost } from '../host/PlatformHost.ts';
import { BoundedLog } from '../observe/BoundedLog.ts';
import { setLogOutput, stateLog } from '../observe/StateLog.ts';
import { stdoutSink } from '../observe/stdoutSink.ts';
import { VERSION } from '../version.ts';
import { onHangup } from './hangups.ts';

const log = stateLog('process');

/**
 * Runs a host on the users' platform until a signal ends it.
 *
 * @param file - Path of the platform's settings file; by default from its variable.
 */
export async function servePlatform(
  file: string | undefined = process.env[SETTINGS_VARIABLE],
): Promise<void> {
  const sink = stdoutSink();
  setLogOutput(new BoundedLog(new SystemClock(), sink));
  const settings = readSettings(file);
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
  onHangup(() => reload(file, settings.value));
  await terminated();
  log('stop_begins', { host: settings.value.host });
  await started.value.leave();
  log('stop', { host: settings.value.host });
  await sink.flush();
  process.exit(EXIT.ok);
}

function readSettings(file: string | undefined): Result<PlatformSettings, readonly string[]> {
  if (file === undefined) return err([`${SETTINGS_VARIABLE} is not set`]);
  try {
    return parsePlatformSettings(readFileSync(file, 'utf8'));
  } catch (thrown) {
    return err([thrown instanceof Error ? thrown.message : String(thrown)]);
  }
}

/** Addresses and bounds hold for one life of a process; the next one takes what has changed. */
function reload(file: string | undefined, before: PlatformSettings): void {
  const read = readSettings(file);
  if (read.isErr()) {
    log('reload', { outcome: 'unreadable', problem: read.error.join('; ') });
    return;
  }
  const isSame = JSON.stringify(read.value) === JSON.stringify(before);
  log('reload', { outcome: isSame ? 'unchanged' : 'taken_at_next_start' });
}

function terminated(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
