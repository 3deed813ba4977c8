import type { Tokens } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';

/** Part of its output that a running request holds, with room for outputs that grow together. */
const MEAN_OUTPUT_PART = 0.75;

/**
 * Gets the memory that a request takes on average while it runs. Its output grows from nothing, and
 * requests on one engine are at different points of theirs; held for the whole output from the start,
 * a third of the memory would stay empty.
 *
 * @param item - The request.
 * @returns Tokens of memory.
 */
export function meanMemory({
  promptTokens,
  maxOutputTokens,
  expectedOutputTokens,
}: WorkItem): Tokens {
  return promptTokens + outputOf({ maxOutputTokens, expectedOutputTokens }) * MEAN_OUTPUT_PART;
}

/** Gets that memory times the output tokens until whose last one it is held. */
export function memorySteps(item: WorkItem): number {
  return meanMemory(item) * outputOf(item);
}

function outputOf({
  maxOutputTokens,
  expectedOutputTokens,
}: Pick<WorkItem, 'maxOutputTokens' | 'expectedOutputTokens'>): Tokens {
  return Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
}
