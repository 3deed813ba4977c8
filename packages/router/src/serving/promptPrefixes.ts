import { createHash } from 'node:crypto';
import { estimateTokens } from '@camphorvane/core';
import type { OpaquePrompt, Prompt } from '@camphorvane/core';
import type { PromptPrefix } from '@camphorvane/decisions';

/** Characters of the shortest prefix; each further prefix is twice as long. */
const SHORTEST_PREFIX_CHARS = 1024;

/** Most prefixes of one prompt; the longest covers more text than any engine caches. */
const MAX_PREFIXES = 8;

/**
 * Gets digests of a prompt's prefixes, by which the scheduler predicts hits in the engines' prefix caches.
 *
 * Each prefix is twice as long as the one before, so that long prompts have few; one pass hashes them all.
 *
 * @param prompt - The prompt.
 * @returns The prefixes, shortest first; none for a text shorter than the shortest prefix.
 */
export function promptPrefixes(prompt: Prompt): readonly PromptPrefix[] {
  return typeof prompt === 'string' ? textPrefixes(prompt) : declaredPrefixes(prompt);
}

/** Callers declare the ids of the parts, so nothing is hashed. */
function declaredPrefixes({ parts }: OpaquePrompt): readonly PromptPrefix[] {
  return parts.map((part, index) => ({
    digest: part.id,
    tokens: parts.slice(0, index + 1).reduce((sum, one) => sum + one.tokens, 0),
  }));
}

function textPrefixes(prompt: string): readonly PromptPrefix[] {
  const lengths = Array.from(
    { length: MAX_PREFIXES },
    (_, i) => SHORTEST_PREFIX_CHARS * 2 ** i,
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
