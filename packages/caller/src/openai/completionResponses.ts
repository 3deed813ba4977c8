import type { CompletionEvent } from '../CallerBackend.ts';
import type { CompletionKind } from './completionBody.ts';

/** Fields that all chunks of one response share. */
export interface CompletionHead {
  readonly id: string;
  readonly kind: CompletionKind;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

type DoneEvent = Extract<CompletionEvent, { readonly type: 'done' }>;

/** A JSON object of the OpenAI API; only serialized here, never parsed. */
export type ResponseObject = Readonly<Record<string, unknown>>;

/**
 * Creates the stream chunk of one token.
 *
 * @param head - Shared fields.
 * @param text - The token's text.
 * @param first - True for the first chunk, which names the role in a chat.
 * @returns The chunk.
 */
export function tokenChunk(head: CompletionHead, text: string, first: boolean): ResponseObject {
  const choice =
    head.kind === 'chat'
      ? { index: 0, delta: first ? { role: 'assistant', content: text } : { content: text } }
      : { index: 0, text };
  return createChunk(head, { ...choice, finish_reason: null, logprobs: null });
}

/**
 * Creates the last chunk with a choice, which carries the finish reason.
 *
 * @param head - Shared fields.
 * @param done - How the completion ended.
 * @returns The chunk.
 */
export function finishChunk(head: CompletionHead, done: DoneEvent): ResponseObject {
  const choice = head.kind === 'chat' ? { index: 0, delta: {} } : { index: 0, text: '' };
  return createChunk(head, { ...choice, finish_reason: done.reason, logprobs: null });
}

/**
 * Creates the chunk with the token usage, which follows the finish chunk.
 *
 * @param head - Shared fields.
 * @param done - How the completion ended.
 * @returns The chunk.
 */
export function usageChunk(head: CompletionHead, done: DoneEvent): ResponseObject {
  return { ...sharedFields(head, true), choices: [], usage: toUsage(done) };
}

/**
 * Creates the body of a response that is not streamed.
 *
 * @param head - Id, kind, model and creation time.
 * @param text - The whole text.
 * @param done - How the completion ended.
 * @returns The body.
 */
export function completionResponse(
  head: CompletionHead,
  text: string,
  done: DoneEvent,
): ResponseObject {
  const choice =
    head.kind === 'chat'
      ? { index: 0, message: { role: 'assistant', content: text, refusal: null } }
      : { index: 0, text };
  return {
    ...sharedFields(head, false),
    choices: [{ ...choice, finish_reason: done.reason, logprobs: null }],
    usage: toUsage(done),
  };
}

function createChunk(head: CompletionHead, choice: ResponseObject): ResponseObject {
  return { ...sharedFields(head, true), choices: [choice] };
}

function sharedFields(head: CompletionHead, streamed: boolean): ResponseObject {
  const chatObject = streamed ? 'chat.completion.chunk' : 'chat.completion';
  return {
    id: head.id,
    object: head.kind === 'chat' ? chatObject : 'text_completion',
    created: head.created,
    model: head.model,
  };
}

function toUsage(done: DoneEvent): ResponseObject {
  return {
    prompt_tokens: done.promptTokens,
    completion_tokens: done.outputTokens,
    total_tokens: done.promptTokens + done.outputTokens,
    prompt_tokens_details: { cached_tokens: done.cachedTokens },
  };
}
