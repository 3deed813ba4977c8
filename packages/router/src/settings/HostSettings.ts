import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import * as z from 'zod';

const ip = z.union([z.ipv4(), z.ipv6()]);

const port = z.number().int().min(0).max(65_535);

const listener = z.strictObject({ ip, port });

const httpUrl = z.url({ protocol: /^https?$/ });

/** Minimum length of credentials, in characters; shorter ones can be guessed. */
const MIN_CREDENTIAL_LENGTH = 16;

const credential = z.string().min(MIN_CREDENTIAL_LENGTH);

const schema = z.strictObject({
  host: z.strictObject({
    id: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    zone: z.string().min(1).max(63),
    region: z.string().min(1).max(63).default('default'),
  }),
  callers: listener,
  peers: listener.extend({
    credential,
    /** Paths of PEM files; if set, peer links use mutual TLS. */
    tls: z.strictObject({ ca: z.string(), cert: z.string(), key: z.string() }).optional(),
  }),
  operators: listener.extend({ credential }),
  platform: z.strictObject({
    url: httpUrl,
    /** Number of hosts in the fleet, which share the platform's limits on call rates. */
    fleetHosts: z.number().int().min(1).max(10_000).default(9),
  }),
  group: z.strictObject({ size: z.number().int().min(3).max(15).default(9) }).prefault({}),
  drain: z
    .strictObject({ graceMs: z.number().int().min(0).max(3_600_000).default(120_000) })
    .prefault({}),
  metrics: z.strictObject({ ip, port }).optional(),
});

/** Validated settings of a host. */
export type HostSettings = Readonly<z.infer<typeof schema>>;

/** An error in a settings file. */
export interface SettingsError {
  readonly file: string;
  /** Line number counted from 1, if known. */
  readonly line?: number;
  /** Dotted key, if known. */
  readonly key?: string;
  readonly message: string;
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - Text of the file, in TOML.
 * @param file - Name of the file, for error messages.
 * @returns The settings, or all errors found.
 */
export function parseHostSettings(
  text: string,
  file: string,
): Result<HostSettings, readonly SettingsError[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (thrown) {
    const line = thrown instanceof TomlError ? thrown.line : undefined;
    const message =
      thrown instanceof Error ? (thrown.message.split('\n')[0] ?? '') : 'not valid TOML';
    return err([{ file, line, message }]);
  }
  const parsed = schema.safeParse(document);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map((issue) => ({
      file,
      key: issue.path.join('.'),
      message: issue.message,
    })),
  );
}

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the file.
 * @returns The settings, or all errors found.
 */
export function readHostSettings(file: string): Result<HostSettings, readonly SettingsError[]> {
  try {
    return parseHostSettings(readFileSync(file, 'utf8'), file);
  } catch (thrown) {
    return err([{ file, message: thrown instanceof Error ? thrown.message : 'cannot be read' }]);
  }
}

/**
 * Formats a settings error as one line.
 *
 * @param error - The error.
 * @returns `file:line: key: message`; unknown parts are omitted.
 */
export function describeSettingsError(error: SettingsError): string {
  const location = error.line === undefined ? error.file : `${error.file}:${error.line}`;
  const key = error.key === undefined || error.key === '' ? '' : `${error.key}: `;
  return `${location}: ${key}${error.message}`;
}
