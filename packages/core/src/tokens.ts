/** A number of language-model tokens. */
export type Tokens = number;

/** A number of pieces of engine memory, {@link TOKENS_PER_PIECE} tokens each. */
export type Pieces = number;

/** Tokens in one piece, the unit of engine memory. */
export const TOKENS_PER_PIECE = 1024;

/** Bytes of text that make about one token, used where no engine has counted the tokens yet. */
const BYTES_PER_TOKEN = 4;

/**
 * Gets the pieces of engine memory that a number of tokens needs.
 *
 * @param tokens - Prompt plus allowed output.
 * @returns Whole pieces, rounded up, at least one.
 */
export function piecesFor(tokens: Tokens): Pieces {
  return Math.max(1, Math.ceil(tokens / TOKENS_PER_PIECE));
}

/**
 * Gets an estimate of a text's tokens before an engine has counted them.
 *
 * @param text - The prompt.
 * @returns At least one token.
 */
export function estimateTokens(text: string): Tokens {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}
