const INDENT = '  ';

/** Longest list that is printed on one line, in characters. */
const MAX_LINE = 80;

/**
 * Gets a dump as indented text.
 *
 * @param value - JSON.
 * @returns Lines of `name: value`, nested by indentation.
 */
export function renderDump(value: unknown): string {
  return lines(value, '').join('\n');
}

function lines(value: unknown, indent: string): readonly string[] {
  if (!isNested(value)) return [`${indent}${plain(value)}`];
  const entries = Object.entries(value as object);
  return entries.flatMap(([name, inner]) => {
    const label = Array.isArray(value) ? '-' : `${name}:`;
    const short = JSON.stringify(inner) ?? '';
    const isShort = !isNested(inner) || (Array.isArray(inner) && short.length <= MAX_LINE);
    if (isShort) return [`${indent}${label} ${isNested(inner) ? short : plain(inner)}`];
    return [`${indent}${label}`, ...lines(inner, `${indent}${INDENT}`)];
  });
}

function isNested(value: unknown): boolean {
  return typeof value === 'object' && value !== null && Object.keys(value).length > 0;
}

function plain(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
