import { createHash } from 'node:crypto';

/**
 * Gets the SHA-256 digest of a text.
 *
 * @param text - Any text; hashed as UTF-8.
 * @returns 64 hexadecimal characters.
 */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Hashes a text to a uniformly distributed 48-bit integer, for hosts and buckets.
 *
 * @param text - Any text.
 * @returns An integer from 0 to 2^48 - 1, the same in every process.
 */
export function hashToUint48(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6);
}
