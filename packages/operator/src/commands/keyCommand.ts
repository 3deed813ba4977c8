import { newKey } from '../builder/newKey.ts';
import { EXIT, type CommandResult } from './CommandResult.ts';

/**
 * Generates a caller's key, which is printed once and not stored.
 *
 * @param bytes - Bytes from a cryptographic random source.
 * @returns The key for the caller, and the digest for the declarations.
 */
export function newKeyCommand(bytes: Uint8Array): CommandResult {
  const created = newKey(bytes);
  const text = [
    `key:    ${created.key}`,
    `digest: ${created.digest}`,
    'Give the key to the team; it is not shown again. Add the digest to key_digests.',
  ].join('\n');
  return { exitCode: EXIT.ok, text, json: created };
}
