import { hashToUint48, sha256Hex } from '@camphorvane/core';
import type { Tokens } from '@camphorvane/core';

/** Characters of one output token; four bytes count as one token everywhere in the project. */
export const CHARS_PER_TOKEN = 4;

const DIGITS_PER_TOKEN = CHARS_PER_TOKEN - 1;
const SHORTEST_ANSWER = 12;
const ANSWER_SPREAD = 36;

/**
 * Gets the text of one output token.
 *
 * @param prompt - The prompt that is answered.
 * @param position - Counted from 0 at the start of the answer.
 * @returns Four characters that depend on both, so that a caller can verify each position.
 */
export function answerToken(prompt: string, position: number): string {
  return `${sha256Hex(`${position}:${prompt}`).slice(0, DIGITS_PER_TOKEN)} `;
}

/**
 * Gets how many tokens the whole answer to a prompt has.
 *
 * @param prompt - The prompt; `#tokens=N` in it asks for an answer of N tokens.
 * @param maxTokens - Most tokens that the caller allows.
 * @returns The number of tokens.
 */
export function answerLength(prompt: string, maxTokens: Tokens): Tokens {
  const asked = /#tokens=(\d+)/.exec(prompt)?.[1];
  const natural =
    asked === undefined
      ? SHORTEST_ANSWER + (hashToUint48(prompt) % ANSWER_SPREAD)
      : Math.max(1, Number(asked));
  return Math.min(natural, maxTokens);
}

/**
 * Gets the whole answer that a stand-in engine gives.
 *
 * @param prompt - The prompt.
 * @param maxTokens - Most tokens that the caller allows.
 * @returns The text from position 0 to the end.
 */
export function answerText(prompt: string, maxTokens: Tokens): string {
  return Array.from({ length: answerLength(prompt, maxTokens) }, (_, position) =>
    answerToken(prompt, position),
  ).join('');
}
