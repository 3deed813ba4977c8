import type { RoutingConfig } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import type { z } from 'zod';
import { describeFound, type DeclarationError } from './DeclarationError.ts';
import { DeclarationLineIndex, type DeclarationPath } from './DeclarationLineIndex.ts';
import { findConfigFaults, type ConfigFault } from './findConfigFaults.ts';
import { declarationSchema } from './declarationSchema.ts';
import { MAX_ERRORS, MAX_FILE_BYTES, MAX_TEAMS } from './limits.ts';
import { routingConfigOf } from './routingConfigOf.ts';

type Parsed<T> = Result<T, readonly DeclarationError[]>;

/**
 * Parses and validates declarations.
 *
 * @param text - The TOML text.
 * @param file - The file name for error messages.
 * @returns The configuration, or its errors; those over {@link MAX_ERRORS} are counted in a last entry.
 */
export function parseDeclarations(text: string, file: string): Parsed<RoutingConfig> {
  return checkSize(text, file)
    .andThen(() => readToml(text, file))
    .andThen((document) => validateSchema(document, text, file))
    .andThen((config) => validateConfig(config, text, file));
}

/** Rejects oversized files before parsing, which would cost time and memory. */
function checkSize(text: string, file: string): Parsed<void> {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_FILE_BYTES) {
    const expected = `at most ${MAX_FILE_BYTES} bytes`;
    return err([{ file, key: '', found: `${bytes} bytes`, expected }]);
  }
  const teams = text.match(/^\s*\[\[\s*teams\s*\]\]/gm)?.length ?? 0;
  if (teams > MAX_TEAMS) {
    return err([{ file, key: 'teams', found: `${teams} teams`, expected: `at most ${MAX_TEAMS}` }]);
  }
  return ok(undefined);
}

function readToml(text: string, file: string): Parsed<unknown> {
  try {
    return ok(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    // Only the first line: the library's excerpt of the file could contain a caller's key.
    const found = error.message.split('\n')[0]!.replace('Invalid TOML document: ', '');
    return err([{ file, line: error.line, key: '', found, expected: 'valid TOML' }]);
  }
}

function validateSchema(document: unknown, text: string, file: string): Parsed<RoutingConfig> {
  const parsed = declarationSchema.safeParse(document);
  if (parsed.success) return ok(routingConfigOf(parsed.data));
  const issues = firstOfEachPath(parsed.error.issues);
  return err(
    locateErrors(
      issues.flatMap((issue) => faultsOf(issue, document)),
      text,
      file,
    ),
  );
}

function validateConfig(config: RoutingConfig, text: string, file: string): Parsed<RoutingConfig> {
  const faults = findConfigFaults(config);
  return faults.length === 0 ? ok(config) : err(locateErrors(faults, text, file));
}

/** Keeps one issue per value: the rules of a value share one message. */
function firstOfEachPath(issues: readonly z.core.$ZodIssue[]): readonly z.core.$ZodIssue[] {
  const seen = new Set<string>();
  return issues.filter((issue) => {
    const key = issue.path.join('.');
    const isNew = !seen.has(key);
    seen.add(key);
    return isNew;
  });
}

function faultsOf(issue: z.core.$ZodIssue, document: unknown): readonly ConfigFault[] {
  if (issue.code !== 'unrecognized_keys') {
    const found = describeFound(valueAt(document, issue.path));
    return [{ path: issue.path, found, expected: issue.message }];
  }
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    found: 'an unknown key',
    expected: 'one of the keys of docs/CONFIG.md',
  }));
}

function valueAt(document: unknown, path: DeclarationPath): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Readonly<Record<PropertyKey, unknown>> | undefined)?.[key],
    document,
  );
}

function locateErrors(
  faults: readonly ConfigFault[],
  text: string,
  file: string,
): readonly DeclarationError[] {
  const lines = new DeclarationLineIndex(text);
  const errors = faults.slice(0, MAX_ERRORS).map((fault) => ({
    file,
    line: lines.getLine(fault.path),
    key: formatPath(fault.path),
    found: fault.found,
    expected: fault.expected,
  }));
  const omitted = faults.length - errors.length;
  if (omitted <= 0) return errors;
  return [...errors, { file, key: '', found: `${omitted} more errors`, expected: 'none' }];
}

function formatPath(path: DeclarationPath): string {
  return path.reduce<string>((key, part) => {
    if (typeof part === 'number') return `${key}[${part}]`;
    return key === '' ? String(part) : `${key}.${String(part)}`;
  }, '');
}
