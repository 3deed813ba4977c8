import type { TeamId } from '@camphorvane/core';
import { answerText } from '@camphorvane/stand-ins';
import type { LoadStep } from '../language/scenarioSchema.ts';
import type { PlannedRequest } from './RequestLog.ts';

const CHARS_PER_TOKEN = 4;

/** Tokens of the text that prompts with the same opening have in common. */
const OPENING_TOKENS = 256;

function filler(seed: string, tokens: number): string {
  const chars = Math.max(0, tokens * CHARS_PER_TOKEN);
  return `${seed} `.repeat(Math.ceil(chars / (seed.length + 1))).slice(0, chars);
}

function sharedPart(team: TeamId, tokens: number): string {
  return tokens === 0 ? '' : filler(`shared text of ${team}`, tokens);
}

/** Gets the mark by which a request is found in what upstreams ran. */
export function markOf(id: string): string {
  return `request=${id};`;
}

/**
 * Plans one request of a load.
 *
 * @param id - Unique in the scenario.
 * @param work - What the load asks for.
 * @returns The request with the answer that is expected.
 */
export function plannedRequest(id: string, work: LoadStep): PlannedRequest {
  const opening = work.opening === '' ? '' : filler(work.opening, OPENING_TOKENS);
  const shared = sharedPart(work.team, work.shared_tokens) + opening;
  const content = work.content ?? id;
  const own = `${markOf(content)} ${work.text} #tokens=${work.output_tokens} `;
  const length = work.prompt_tokens * CHARS_PER_TOKEN - shared.length - own.length;
  const rest = filler(`${content} text`, length / CHARS_PER_TOKEN);
  const prompt = shared + own + rest;
  const maxTokens = work.max_tokens ?? work.output_tokens;
  return { id, work, prompt, maxTokens, expectedText: answerText(prompt, maxTokens) };
}
