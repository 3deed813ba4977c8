import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import * as z from 'zod';

const ip = z.union([z.ipv4(), z.ipv6()]);

const port = z.number().int().min(0).max(65_535);

const listener = z.strictObject({ ip, port });

const httpUrl = z.url({ protocol: /^https?$/ });

/** Shortest credential accepted; shorter ones can be guessed. */
const MIN_CREDENTIAL = 16;

const credential = z.string().min(MIN_CREDENTIAL);

const schema = z.strictObject({
  host: z.strictObject({
    id: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    zone: z.string().min(1).max(63),
    region: z.string().min(1).max(63).default('default'),
  }),
  callers: listener,
  peers: listener.extend({
    credential,
    /** Paths of PEM files; with all three the links are mutual TLS. */
    tls: z.strictObject({ ca: z.string(), cert: z.string(), key: z.string() }).optional(),
  }),
  operators: listener.extend({ credential }),
  platform: z.strictObject({
    url: httpUrl,
    /** Hosts of the whole fleet, which share the platform's rates of calls. */
    fleetHosts: z.number().int().min(1).max(10_000).default(9),
  }),
  group: z.strictObject({ size: z.number().int().min(3).max(15).default(9) }).prefault({}),
  drain: z
    .strictObject({ graceMs: z.number().int().min(0).max(3_600_000).default(120_000) })
    .prefault({}),
  metrics: z.strictObject({ ip, port }).optional(),
});

/** Settings of one host, checked. */
export type HostSettings = Readonly<z.infer<typeof schema>>;

/** One thing wrong with a settings file. */
export interface SettingsError {
  readonly file: string;
  /** Line where it is known, counted from 1. */
  readonly line?: number;
  /** Dotted key where it is known. */
  readonly key?: string;
  readonly message: string;
}

/**
 * Checks the text of a settings file.
 *
 * @param text - TOML.
 * @param file - The file's name, for errors.
 * @returns The settings, or everything that is wrong with them.
 */
export function parseHostSettings(
  text: string,
  file: string,
): Result<HostSettings, readonly SettingsError[]> {
  let json: unknown;
  try {
    json = parse(text);
  } catch (thrown) {
    const line = thrown instanceof TomlError ? thrown.line : undefined;
    const message = thrown instanceof Error ? (thrown.message.split('\n')[0] ?? '') : 'not TOML';
    return err([{ file, line, message }]);
  }
  const checked = schema.safeParse(json);
  if (checked.success) return ok(checked.data);
  return err(
    checked.error.issues.map((issue) => ({
      file,
      key: issue.path.join('.'),
      message: issue.message,
    })),
  );
}

/**
 * Reads and checks a settings file.
 *
 * @param file - Its path.
 * @returns The settings, or everything that is wrong.
 */
export function readHostSettings(file: string): Result<HostSettings, readonly SettingsError[]> {
  try {
    return parseHostSettings(readFileSync(file, 'utf8'), file);
  } catch (thrown) {
    return err([{ file, message: thrown instanceof Error ? thrown.message : 'cannot be read' }]);
  }
}

/**
 * Gets the line that tells a person of a settings error.
 *
 * @param error - The error.
 * @returns `file:line: key: message`, without the parts that are not known.
 */
export function describeSettingsError(error: SettingsError): string {
  const place = error.line === undefined ? error.file : `${error.file}:${error.line}`;
  const key = error.key === undefined || error.key === '' ? '' : `${error.key}: `;
  return `${place}: ${key}${error.message}`;
}
