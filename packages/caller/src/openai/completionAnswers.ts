import type { CompletionEvent } from '../CallerBackend.ts';
import type { CompletionKind } from './completionBody.ts';

/** What all parts of one answer share. */
export interface AnswerHead {
  readonly id: string;
  readonly kind: CompletionKind;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

type DoneEvent = Extract<CompletionEvent, { readonly type: 'done' }>;

/** JSON objects of OpenAI's interface, which are written and never read here. */
export type AnswerObject = Readonly<Record<string, unknown>>;

/**
 * Gets the chunk of a stream that carries one token.
 *
 * @param head - What all chunks share.
 * @param text - The token's text.
 * @param first - True for the first chunk, which names the role in a chat.
 * @returns The chunk.
 */
export function tokenChunk(head: AnswerHead, text: string, first: boolean): AnswerObject {
  const choice =
    head.kind === 'chat'
      ? { index: 0, delta: first ? { role: 'assistant', content: text } : { content: text } }
      : { index: 0, text };
  return chunk(head, { ...choice, finish_reason: null, logprobs: null });
}

/**
 * Gets the chunk that ends a stream.
 *
 * @param head - What all chunks share.
 * @param done - How the answer ended.
 * @returns The chunk.
 */
export function finishChunk(head: AnswerHead, done: DoneEvent): AnswerObject {
  const choice = head.kind === 'chat' ? { index: 0, delta: {} } : { index: 0, text: '' };
  return chunk(head, { ...choice, finish_reason: done.reason, logprobs: null });
}

/**
 * Gets the chunk that carries the usage, after the last choice.
 *
 * @param head - What all chunks share.
 * @param done - How the answer ended.
 * @returns The chunk.
 */
export function usageChunk(head: AnswerHead, done: DoneEvent): AnswerObject {
  return { ...shared(head, true), choices: [], usage: usage(done) };
}

/**
 * Gets a whole answer.
 *
 * @param head - What describes the answer.
 * @param text - All of its text.
 * @param done - How it ended.
 * @returns The body.
 */
export function wholeAnswer(head: AnswerHead, text: string, done: DoneEvent): AnswerObject {
  const choice =
    head.kind === 'chat'
      ? { index: 0, message: { role: 'assistant', content: text, refusal: null } }
      : { index: 0, text };
  return {
    ...shared(head, false),
    choices: [{ ...choice, finish_reason: done.reason, logprobs: null }],
    usage: usage(done),
  };
}

function chunk(head: AnswerHead, choice: AnswerObject): AnswerObject {
  return { ...shared(head, true), choices: [choice] };
}

function shared(head: AnswerHead, streamed: boolean): AnswerObject {
  const chatObject = streamed ? 'chat.completion.chunk' : 'chat.completion';
  return {
    id: head.id,
    object: head.kind === 'chat' ? chatObject : 'text_completion',
    created: head.created,
    model: head.model,
  };
}

function usage(done: DoneEvent): AnswerObject {
  return {
    prompt_tokens: done.promptTokens,
    completion_tokens: done.outputTokens,
    total_tokens: done.promptTokens + done.outputTokens,
    prompt_tokens_details: { cached_tokens: done.cachedTokens },
  };
}
