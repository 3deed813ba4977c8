import { KEY_PREFIX } from '../builder/newKey.ts';

const REDACTED = '(not shown)';

/** Field names that may hold a credential. */
const SECRET_NAME = /credential|secret|password|authorization|private/i;

/** Deepest nesting in a dump; bounds its output for any input. */
const MAX_DEPTH = 20;

/**
 * Redacts secrets in a dump.
 *
 * Components must not put secrets into a dump; this is a last safeguard before it is sent. It redacts
 * fields named like a credential, and every text that contains a caller's key or a known secret.
 *
 * @param value - A value that can be serialized as JSON.
 * @param secrets - Texts to redact wherever they occur.
 * @returns A redacted copy.
 */
export function redact(value: unknown, secrets: readonly string[]): unknown {
  const nonEmptySecrets = secrets.filter((secret) => secret !== '');
  return redactValue(JSON.parse(JSON.stringify(value ?? null)) as unknown, nonEmptySecrets, 0);
}

function redactValue(value: unknown, secrets: readonly string[], depth: number): unknown {
  if (typeof value === 'string') return isSecret(value, secrets) ? REDACTED : value;
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '(too deep)';
  if (Array.isArray(value)) return value.map((item) => redactValue(item, secrets, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, inner]) => {
      const redacted = SECRET_NAME.test(name) ? REDACTED : redactValue(inner, secrets, depth + 1);
      return [isSecret(name, secrets) ? REDACTED : name, redacted];
    }),
  );
}

function isSecret(text: string, secrets: readonly string[]): boolean {
  return text.includes(KEY_PREFIX) || secrets.some((secret) => text.includes(secret));
}
