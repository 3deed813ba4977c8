/** A number of language-model tokens. */
export type Tokens = number;

/** A number of pieces of engine memory, {@link TOKENS_PER_PIECE} tokens each. */
export type Pieces = number;

/** Tokens in one piece, the unit of engine memory. */
export const TOKENS_PER_PIECE = 1024;

/** Average bytes of text per token, for estimates before an engine has counted the tokens. */
const BYTES_PER_TOKEN = 4;

/**
 * Converts tokens to pieces of engine memory.
 *
 * @param tokens - Prompt plus maximum output.
 * @returns Whole pieces, rounded up, at least one.
 */
export function piecesFor(tokens: Tokens): Pieces {
  return Math.max(1, Math.ceil(tokens / TOKENS_PER_PIECE));
}

/**
 * Estimates the tokens of a text before an engine has counted them.
 *
 * @param text - The prompt.
 * @returns At least one token.
 */
export function estimateTokens(text: string): Tokens {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}
