import type { Millis } from './Clock.ts';
import type { TeamId } from './ids.ts';
import type { Tokens } from './tokens.ts';
import { estimateTokens } from './tokens.ts';

/** A segment of a prompt that other requests may share; equal ids mean equal text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

/** A call that is forwarded byte for byte; the router never parses its body. */
export interface OpaqueCall {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Lower-case names, without the key and hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Caller's deadline on this host's monotonic clock. */
  readonly deadlineAt: Millis;
  /** Team of the caller's key; undefined on routes that need none. */
  readonly team: TeamId | undefined;
}

/** A prompt whose text the router does not know: only its size and its parts are declared. */
export interface OpaquePrompt {
  readonly tokens: Tokens;
  /** All parts in order; only the request or its session uses the last one. */
  readonly parts: readonly PromptPart[];
  readonly call: OpaqueCall;
}

/** Input of a prefill: text from the native interface, or a forwarded call. */
export type Prompt = string | OpaquePrompt;

/**
 * Gets the text of a prompt.
 *
 * @param prompt - The prompt.
 * @returns The text; undefined for a forwarded call.
 */
export function getPromptText(prompt: Prompt): string | undefined {
  return typeof prompt === 'string' ? prompt : undefined;
}

/**
 * Gets the size of a prompt.
 *
 * @param prompt - The prompt.
 * @returns Its tokens: estimated for text, declared by the caller for a forwarded call.
 */
export function countPromptTokens(prompt: Prompt): Tokens {
  return typeof prompt === 'string' ? estimateTokens(prompt) : prompt.tokens;
}
