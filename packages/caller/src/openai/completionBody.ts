import type { Refusal, WorkClass } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

/** Output allowed where a caller names no limit. */
const DEFAULT_MAX_TOKENS = 256;

/** More output than any model gives; larger numbers are mistakes. */
const MAX_MAX_TOKENS = 1_000_000;

const maxTokens = z.number().int().min(1).max(MAX_MAX_TOKENS);

const sharedFields = {
  model: z.string().min(1).max(200),
  max_tokens: maxTokens.nullish(),
  max_completion_tokens: maxTokens.nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  service_tier: z.string().max(40).nullish(),
  n: z.literal(1).nullish(),
};

const textPart = z.object({ type: z.literal('text'), text: z.string() });

const chatSchema = z.object({
  ...sharedFields,
  messages: z
    .array(
      z.object({
        role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
        content: z.union([z.string(), z.array(textPart)]),
      }),
    )
    .min(1)
    .max(10_000),
});

const textSchema = z.object({ ...sharedFields, prompt: z.string().min(1) });

/** A checked completion body. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly class: WorkClass;
}

/** Which of OpenAI's two interfaces a body is for. */
export type CompletionKind = 'chat' | 'text';

/**
 * Checks the body of a completion.
 *
 * @param bytes - The body as it came.
 * @param kind - Which interface it is for.
 * @param classHeader - The caller's wish for a class, which goes before `service_tier`.
 * @returns The checked body, or a refusal that names the field.
 */
export function parseCompletionBody(
  bytes: Buffer,
  kind: CompletionKind,
  classHeader: string | undefined,
): Result<CompletionBody, Refusal> {
  return parseJson(bytes).andThen((json) => {
    switch (kind) {
      case 'chat':
        return check(chatSchema, json).andThen((body) =>
          finish(body, chatPrompt(body.messages), classHeader),
        );
      case 'text':
        return check(textSchema, json).andThen((body) => finish(body, body.prompt, classHeader));
      default:
        return kind satisfies never;
    }
  });
}

function parseJson(bytes: Buffer): Result<unknown, Refusal> {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes);
    return ok(JSON.parse(text));
  } catch {
    return err(notRun('bad_request', 'The body is not JSON in UTF-8.'));
  }
}

function check<T>(schema: z.ZodType<T>, json: unknown): Result<T, Refusal> {
  const parsed = schema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const where = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.');
  return err(notRun('bad_request', `${where}: ${issue?.message ?? 'not as expected'}`));
}

function chatPrompt(messages: z.infer<typeof chatSchema>['messages']): string {
  return messages
    .map(({ role, content }) => {
      const text =
        typeof content === 'string' ? content : content.map((part) => part.text).join('');
      return `${role}: ${text}\n`;
    })
    .join('');
}

type SharedBody = Omit<z.infer<typeof textSchema>, 'prompt'>;

function finish(
  body: SharedBody,
  prompt: string,
  classHeader: string | undefined,
): Result<CompletionBody, Refusal> {
  return workClass(classHeader, body.service_tier ?? undefined).map((cls) => ({
    model: body.model,
    prompt,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    class: cls,
  }));
}

/** A caller says that its request may wait by the header, or by OpenAI's `flex` tier. */
function workClass(
  header: string | undefined,
  tier: string | undefined,
): Result<WorkClass, Refusal> {
  switch (header) {
    case undefined:
      return ok(tier === 'flex' ? 'summary' : 'lookup');
    case 'lookup':
    case 'certificate':
    case 'summary':
      return ok(header);
    default:
      return err(notRun('bad_request', 'x-camphorvane-class is lookup, certificate or summary.'));
  }
}
