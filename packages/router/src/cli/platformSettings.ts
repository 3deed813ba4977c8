import { readFileSync } from 'node:fs';
import type { Clock, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { PlatformSettings } from '@camphorvane/platform';
import { parsePlatformSettings, SETTINGS_VARIABLE } from '@camphorvane/platform';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Milliseconds within which a file that is being written is whole. */
const WRITE_MS: Millis = 1_000;

const RETRY_MS: Millis = 50;

/** Settings, or what is wrong with them, a line each. */
export type ReadSettings = Result<PlatformSettings, readonly string[]>;

/**
 * Reads a settings file.
 *
 * @param file - Path of the file; undefined where none is named.
 */
export function readSettings(file: string | undefined): ReadSettings {
  if (file === undefined) return err([`${SETTINGS_VARIABLE} is not set`]);
  try {
    return parsePlatformSettings(readFileSync(file, 'utf8'));
  } catch (thrown) {
    return err([thrown instanceof Error ? thrown.message : String(thrown)]);
  }
}

/**
 * Reads a settings file at the start of a host, which may come while the file is being written: what can't be read then
 * is read again for a while.
 *
 * @param file - Path of the file; undefined where none is named.
 * @param clock - Times the attempts.
 */
export async function awaitSettings(file: string | undefined, clock: Clock): Promise<ReadSettings> {
  const until = clock.now() + WRITE_MS;
  let settings = readSettings(file);
  while (file !== undefined && settings.isErr() && clock.now() < until) {
    await sleep(clock, RETRY_MS);
    settings = readSettings(file);
  }
  return settings;
}
