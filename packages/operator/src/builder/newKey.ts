import { sha256Hex } from '@camphorvane/core';

/** A new caller's key; the key itself is shown once, and only its digest is declared. */
export interface NewKey {
  /** `cvk_` and the random bytes in base64url. */
  readonly key: string;
  /** SHA-256 of the key, 64 hexadecimal characters. */
  readonly digest: string;
}

/** Prefix of every key, by which people and secret scanners recognise a leaked one. */
export const KEY_PREFIX = 'cvk_';

/** Fewest random bytes of a key; 192 bits resist guessing even with the digests known. */
export const MIN_KEY_BYTES = 24;

/**
 * Generates a caller's key.
 *
 * @param bytes - Bytes from a cryptographic random source, at least {@link MIN_KEY_BYTES}.
 * @returns The key and its digest.
 * @throws RangeError if there are too few bytes.
 */
export function newKey(bytes: Uint8Array): NewKey {
  if (bytes.length < MIN_KEY_BYTES) {
    throw new RangeError(`a key needs ${MIN_KEY_BYTES} random bytes, got ${bytes.length}`);
  }
  const key = `${KEY_PREFIX}${Buffer.from(bytes).toString('base64url')}`;
  return { key, digest: sha256Hex(key) };
}
