/** One fault of a declarations file, told so that the operator finds and mends it. */
export interface DeclarationError {
  /** Name of the file as the operator gave it. */
  readonly file: string;
  /** Line of the key, or of the nearest table around it; absent where it can't be told. */
  readonly line?: number;
  /** The key, such as `pools[1].engines[0].url`; empty where the whole file is meant. */
  readonly key: string;
  /** What the file holds there; never a caller's key. */
  readonly found: string;
  readonly expected: string;
}

/**
 * Gets one line of text for an error.
 *
 * @param error - The error.
 * @returns `file:line: key: found …, expected …`.
 */
export function describeDeclarationError(error: DeclarationError): string {
  const place = error.line === undefined ? error.file : `${error.file}:${error.line}`;
  const key = error.key === '' ? '' : `${error.key}: `;
  return `${place}: ${key}found ${error.found}, expected ${error.expected}`;
}

/** Longest text that is repeated in an error; a pasted file must not fill the terminal. */
const MAX_ECHO = 60;

/** What keys of callers start with; see `newKey`. */
const KEY_PREFIX = 'cvk_';

const URL_WITH_PASSWORD = /\/\/[^/]*@/;

/**
 * Gets a description of a value for an error.
 *
 * @param value - Anything that TOML can hold.
 * @returns A short text; a caller's key that was pasted by mistake is not repeated.
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
  return JSON.stringify(text.length > MAX_ECHO ? `${text.slice(0, MAX_ECHO)}…` : text);
}
