import type { Millis } from './Clock.ts';
import type { TeamId } from './ids.ts';
import type { Tokens } from './tokens.ts';
import { estimateTokens } from './tokens.ts';

/** A part of a prompt that other requests may share; equal ids mean equal text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

/** A caller's call that is passed on byte for byte; this program never reads its body. */
export interface OpaqueCall {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Lower-case names; the key and the headers of one connection are already taken out. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time on this host's clock at which the caller gives up. */
  readonly deadlineAt: Millis;
  /** Team of the caller's key; undefined on routes that need none. */
  readonly team: TeamId | undefined;
}

/** A prompt whose text stays with the engine: only its size and its shared parts are known. */
export interface OpaquePrompt {
  readonly tokens: Tokens;
  /** All parts in order; the last one belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[];
  readonly call: OpaqueCall;
}

/** What an engine is to read: text of our own interface, or a call that is passed on. */
export type Prompt = string | OpaquePrompt;

/**
 * Gets the text of a prompt.
 *
 * @param prompt - The prompt.
 * @returns The text; undefined for a call that is passed on.
 */
export function textOf(prompt: Prompt): string | undefined {
  return typeof prompt === 'string' ? prompt : undefined;
}

/**
 * Gets the size of a prompt.
 *
 * @param prompt - The prompt.
 * @returns Its tokens: estimated for text, as declared for a call that is passed on.
 */
export function promptTokens(prompt: Prompt): Tokens {
  return typeof prompt === 'string' ? estimateTokens(prompt) : prompt.tokens;
}
