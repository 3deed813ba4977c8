/** A validation error of a declarations file. */
export interface DeclarationError {
  /** File name as given by the operator. */
  readonly file: string;
  /** Line of the key or of the nearest enclosing table; absent if unknown. */
  readonly line?: number;
  /** The key, such as `pools[1].engines[0].url`; empty if the error concerns the whole file. */
  readonly key: string;
  /** Description of the value found; never contains a caller's key. */
  readonly found: string;
  /** Description of the valid values. */
  readonly expected: string;
}

/**
 * Formats an error as one line.
 *
 * @param error - The error.
 * @returns `file:line: key: found …, expected …`.
 */
export function describeDeclarationError(error: DeclarationError): string {
  const location = error.line === undefined ? error.file : `${error.file}:${error.line}`;
  const key = error.key === '' ? '' : `${error.key}: `;
  return `${location}: ${key}found ${error.found}, expected ${error.expected}`;
}

/** Longest value quoted in an error, in characters; a pasted file must not fill the terminal. */
const MAX_QUOTED_LENGTH = 60;

/** Prefix of callers' keys; see `newKey`. */
const KEY_PREFIX = 'cvk_';

const URL_WITH_PASSWORD = /\/\/[^/]*@/;

/**
 * Describes a value for an error message.
 *
 * @param value - A TOML value.
 * @returns A short description; a caller's key or a URL with a password is not quoted.
 */
export function describeFound(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (typeof value === 'string') return describeText(value);
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (value instanceof Date) return 'a date';
  if (typeof value === 'object' && value !== null) return 'a table';
  return String(value);
}

function describeText(text: string): string {
  if (text.includes(KEY_PREFIX)) return 'a key (not shown)';
  if (URL_WITH_PASSWORD.test(text)) return 'a URL with a password (not shown)';
  return JSON.stringify(
    text.length > MAX_QUOTED_LENGTH ? `${text.slice(0, MAX_QUOTED_LENGTH)}…` : text,
  );
}
