import type { Tokens } from '@camphorvane/core';
import type { WorkItem } from '../PoolScheduler.ts';

/** Mean fraction of its output that a running request holds; above a half, as outputs may grow together. */
const MEAN_OUTPUT_FRACTION = 0.75;

/**
 * Gets the KV memory that a request holds on average while it runs.
 *
 * Its output grows from nothing, and the requests on an engine are at different stages. If each reserved
 * its whole output from the start, a third of the memory would stay empty.
 *
 * @param item - The request.
 * @returns Tokens of memory.
 */
export function meanMemoryTokens({
  promptTokens,
  maxOutputTokens,
  expectedOutputTokens,
}: WorkItem): Tokens {
  return promptTokens + outputOf({ maxOutputTokens, expectedOutputTokens }) * MEAN_OUTPUT_FRACTION;
}

/**
 * Gets the memory footprint of a request over its run: its mean memory times its output tokens, which
 * are the decode steps for which it holds that memory.
 *
 * @param item - The request.
 * @returns Tokens of memory times decode steps.
 */
export function memorySteps(item: WorkItem): number {
  return meanMemoryTokens(item) * outputOf(item);
}

/** Gets the output that is expected, or the most that is allowed where nothing is expected. */
function outputOf({
  maxOutputTokens,
  expectedOutputTokens,
}: Pick<WorkItem, 'maxOutputTokens' | 'expectedOutputTokens'>): Tokens {
  return Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
}
