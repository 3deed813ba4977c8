import { newKey } from '../builder/newKey.ts';
import { EXIT, type CommandResult } from './CommandResult.ts';

/**
 * Makes a key; it is printed once and kept nowhere.
 *
 * @param bytes - Bytes of a cryptographic random source.
 * @returns The key for the caller, and the digest for the declarations.
 */
export function newKeyCommand(bytes: Uint8Array): CommandResult {
  const made = newKey(bytes);
  const text = [
    `key:    ${made.key}`,
    `digest: ${made.digest}`,
    'Give the key to the team, it is not shown again; put the digest into key_digests.',
  ].join('\n');
  return { exitCode: EXIT.ok, text, json: made };
}
