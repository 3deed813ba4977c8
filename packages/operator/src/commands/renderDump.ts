const INDENT = '  ';

/** Longest list printed on one line, in characters. */
const MAX_INLINE_LIST_LENGTH = 80;

/**
 * Formats a state dump as indented text.
 *
 * @param value - A JSON value.
 * @returns Lines of `name: value`, nested by indentation.
 */
export function renderDump(value: unknown): string {
  return renderLines(value, '').join('\n');
}

function renderLines(value: unknown, indent: string): readonly string[] {
  if (!isNested(value)) return [`${indent}${formatScalar(value)}`];
  const entries = Object.entries(value as object);
  return entries.flatMap(([name, inner]) => {
    const label = Array.isArray(value) ? '-' : `${name}:`;
    const inlineText = JSON.stringify(inner) ?? '';
    const isInline =
      !isNested(inner) || (Array.isArray(inner) && inlineText.length <= MAX_INLINE_LIST_LENGTH);
    if (isInline)
      return [`${indent}${label} ${isNested(inner) ? inlineText : formatScalar(inner)}`];
    return [`${indent}${label}`, ...renderLines(inner, `${indent}${INDENT}`)];
  });
}

function isNested(value: unknown): boolean {
  return typeof value === 'object' && value !== null && Object.keys(value).length > 0;
}

function formatScalar(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
