import { createHash } from 'node:crypto';
import { estimateTokens } from '@camphorvane/core';
import type { OpaquePrompt, Prompt } from '@camphorvane/core';
import type { PromptPrefix } from '@camphorvane/decisions';

/** Characters of the shortest prefix; each next one is twice as long. */
const FIRST_PREFIX_CHARS = 1024;

/** Prefixes named for one prompt; the longest covers more text than any engine caches. */
const MAX_PREFIXES = 8;

/**
 * Gets digests of growing prefixes of a prompt, by which a steward expects cache hits.
 *
 * Doubling lengths keep the number small for prompts of any length; one pass hashes them all.
 *
 * @param prompt - The prompt.
 * @returns Prefixes, shortest first; none for short prompts.
 */
export function promptPrefixes(prompt: Prompt): readonly PromptPrefix[] {
  return typeof prompt === 'string' ? textPrefixes(prompt) : declaredPrefixes(prompt);
}

/** The callers name the parts, so nothing is hashed. */
function declaredPrefixes({ parts }: OpaquePrompt): readonly PromptPrefix[] {
  return parts.map((part, index) => ({
    digest: part.id,
    tokens: parts.slice(0, index + 1).reduce((sum, one) => sum + one.tokens, 0),
  }));
}

function textPrefixes(prompt: string): readonly PromptPrefix[] {
  const lengths = Array.from(
    { length: MAX_PREFIXES },
    (_, i) => FIRST_PREFIX_CHARS * 2 ** i,
  ).filter((length) => length <= prompt.length);
  const hash = createHash('sha256');
  return lengths.map((length, index) => {
    hash.update(prompt.slice(lengths[index - 1] ?? 0, length));
    return {
      digest: hash.copy().digest('hex').slice(0, 16),
      tokens: estimateTokens(prompt.slice(0, length)),
    };
  });
}
