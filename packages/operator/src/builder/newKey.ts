import { sha256Hex } from '@camphorvane/core';

/** A caller's key as it is made: the key is shown once, the digest is what is declared. */
export interface NewKey {
  /** `cvk_` and the random bytes in base64url. */
  readonly key: string;
  /** SHA-256 of the key, 64 hexadecimal characters. */
  readonly digest: string;
}

/** What every key starts with, so that people and scanners recognise one that leaked. */
export const KEY_PREFIX = 'cvk_';

/** Fewest random bytes of a key: 192 bits can't be guessed, whatever the digests are worth. */
export const MIN_KEY_BYTES = 24;

/**
 * Makes a key.
 *
 * @param bytes - Bytes of a cryptographic random source, at least {@link MIN_KEY_BYTES}.
 * @returns The key and its digest.
 */
export function newKey(bytes: Uint8Array): NewKey {
  if (bytes.length < MIN_KEY_BYTES) {
    throw new RangeError(`a key needs ${MIN_KEY_BYTES} random bytes, got ${bytes.length}`);
  }
  const key = `${KEY_PREFIX}${Buffer.from(bytes).toString('base64url')}`;
  return { key, digest: sha256Hex(key) };
}
