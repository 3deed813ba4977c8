import { createHash } from 'node:crypto';
import type { ModelId, Prompt, PromptPart } from '@camphorvane/core';
import { toSharedDigest } from '@camphorvane/decisions';
import { promptPrefixes } from './promptPrefixes.ts';

/** Most traits of a request that others may share. */
const MAX_SHARED_TRAITS = 16;

/**
 * Gets what a completion shares with others and what may therefore crash the upstreams of all of them.
 *
 * @param model - The model, or the service of a forwarded call.
 * @param prompt - The prompt: its parts count, or the beginnings of a text.
 * @returns Digests of these traits.
 */
export function sharedTraitsOf(model: ModelId, prompt: Prompt): readonly string[] {
  if (typeof prompt !== 'string') return sharedPartsOf(model, prompt.parts);
  return toTraits(
    model,
    promptPrefixes(prompt).map(({ digest }) => digest),
  );
}

/**
 * Gets the traits of a prompt's parts; without the last one, which only the request or its session uses.
 *
 * @param service - The service that runs the request.
 * @param parts - All parts in order.
 * @returns Digests of these traits.
 */
export function sharedPartsOf(service: string, parts: readonly PromptPart[]): readonly string[] {
  return toTraits(
    service,
    parts.slice(0, -1).map(({ id }) => id),
  );
}

function toTraits(service: string, ids: readonly string[]): readonly string[] {
  return [...new Set(ids)].slice(0, MAX_SHARED_TRAITS).map((id) => {
    const hash = createHash('sha256').update(JSON.stringify([service, id]));
    return toSharedDigest(hash.digest('base64url'));
  });
}
