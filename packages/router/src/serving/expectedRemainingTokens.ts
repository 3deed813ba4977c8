import type { Tokens } from '@camphorvane/core';
import type { StreamRequest } from './streamRequest.ts';

/** Events before the end at which a copied stream is not stopped any more. */
export const MIN_REMAINING_EVENTS = 10;

/**
 * Gets the output that a stream is expected to produce yet. One that exceeds its expected output may go on
 * to the most that is allowed.
 *
 * @param request - The stream.
 * @param generatedTokens - Output so far.
 * @returns Tokens.
 */
export function expectedRemainingTokens(
  { expectedTokens, command: { maxTokens } }: Pick<StreamRequest, 'expectedTokens' | 'command'>,
  generatedTokens: Tokens,
): Tokens {
  const expected = Math.min(maxTokens, expectedTokens ?? maxTokens);
  const total = generatedTokens < expected ? expected : maxTokens;
  return Math.max(0, total - generatedTokens);
}
