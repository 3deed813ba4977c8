import { KEY_PREFIX } from '../builder/newKey.ts';

const HIDDEN = '(not shown)';

/** Names under which a part of the process might keep a credential. */
const SECRET_NAME = /credential|secret|password|authorization|private/i;

/** Deepest nesting that is shown; a dump is a report, and must end whatever it was given. */
const MAX_DEPTH = 20;

/**
 * Takes secrets out of a dump.
 *
 * The parts of a process are not supposed to hand any out. This is the last line before the wire: it
 * hides what is called a credential, and every text that holds a key or one of the known secrets.
 *
 * @param value - Anything that can become JSON.
 * @param secrets - Texts that must not be shown, wherever they stand.
 * @returns A copy without them.
 */
export function redact(value: unknown, secrets: readonly string[]): unknown {
  const known = secrets.filter((secret) => secret !== '');
  return hide(JSON.parse(JSON.stringify(value ?? null)) as unknown, known, 0);
}

function hide(value: unknown, secrets: readonly string[], depth: number): unknown {
  if (typeof value === 'string') return isSecret(value, secrets) ? HIDDEN : value;
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '(too deep)';
  if (Array.isArray(value)) return value.map((item) => hide(item, secrets, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([name, inner]) => {
      const shown = SECRET_NAME.test(name) ? HIDDEN : hide(inner, secrets, depth + 1);
      return [isSecret(name, secrets) ? HIDDEN : name, shown];
    }),
  );
}

function isSecret(text: string, secrets: readonly string[]): boolean {
  return text.includes(KEY_PREFIX) || secrets.some((secret) => text.includes(secret));
}
