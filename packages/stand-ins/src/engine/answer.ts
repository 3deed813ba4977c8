import { hashToUint48, sha256Hex } from '@camphorvane/core';
import type { Tokens } from '@camphorvane/core';

/** Characters of one output token, equal to the estimate of 4 bytes a token used by the router. */
export const CHARS_PER_TOKEN = 4;

const DIGITS_PER_TOKEN = CHARS_PER_TOKEN - 1;
const MIN_ANSWER_TOKENS = 12;
const ANSWER_TOKENS_SPREAD = 36;

/**
 * Gets the text of one output token.
 *
 * @param prompt - The prompt.
 * @param position - Token position in the answer, from 0.
 * @returns 4 characters derived from prompt and position, so that callers can verify each position.
 */
export function answerToken(prompt: string, position: number): string {
  return `${sha256Hex(`${position}:${prompt}`).slice(0, DIGITS_PER_TOKEN)} `;
}

/**
 * Gets the length of the complete answer to a prompt.
 *
 * @param prompt - The prompt; `#tokens=N` in it requests an answer of N tokens.
 * @param maxTokens - Upper limit set by the caller.
 * @returns Number of tokens.
 */
export function answerLength(prompt: string, maxTokens: Tokens): Tokens {
  const requested = /#tokens=(\d+)/.exec(prompt)?.[1];
  const natural =
    requested === undefined
      ? MIN_ANSWER_TOKENS + (hashToUint48(prompt) % ANSWER_TOKENS_SPREAD)
      : Math.max(1, Number(requested));
  return Math.min(natural, maxTokens);
}

/**
 * Gets the complete answer of a stand-in engine.
 *
 * @param prompt - The prompt.
 * @param maxTokens - Upper limit set by the caller.
 * @returns Text of all tokens.
 */
export function answerText(prompt: string, maxTokens: Tokens): string {
  return Array.from({ length: answerLength(prompt, maxTokens) }, (_, position) =>
    answerToken(prompt, position),
  ).join('');
}
