import type { Refusal, WorkClass } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

/** Output limit in tokens where the caller sets none. */
const DEFAULT_MAX_TOKENS = 256;

/** Largest output limit accepted, in tokens; no model generates more, so a larger value is a mistake. */
const MAX_OUTPUT_TOKENS = 1_000_000;

const maxTokens = z.number().int().min(1).max(MAX_OUTPUT_TOKENS);

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

/** A validated completion body. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly class: WorkClass;
}

/** Which OpenAI endpoint a body is for: chat completions or text completions. */
export type CompletionKind = 'chat' | 'text';

/**
 * Parses and validates the body of a completion.
 *
 * @param bytes - The raw body.
 * @param kind - Which endpoint it is for.
 * @param classHeader - The class requested by header; overrides `service_tier`.
 * @returns The validated body, or a refusal that names the field.
 */
export function parseCompletionBody(
  bytes: Buffer,
  kind: CompletionKind,
  classHeader: string | undefined,
): Result<CompletionBody, Refusal> {
  return parseJson(bytes).andThen((json) => {
    switch (kind) {
      case 'chat':
        return validate(chatSchema, json).andThen((body) =>
          toCompletionBody(body, renderChatPrompt(body.messages), classHeader),
        );
      case 'text':
        return validate(textSchema, json).andThen((body) =>
          toCompletionBody(body, body.prompt, classHeader),
        );
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
    return err(notRun('bad_request', 'The body is not valid JSON in UTF-8.'));
  }
}

function validate<T>(schema: z.ZodType<T>, json: unknown): Result<T, Refusal> {
  const parsed = schema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const field = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.');
  return err(notRun('bad_request', `${field}: ${issue?.message ?? 'invalid value'}`));
}

function renderChatPrompt(messages: z.infer<typeof chatSchema>['messages']): string {
  return messages
    .map(({ role, content }) => {
      const text =
        typeof content === 'string' ? content : content.map((part) => part.text).join('');
      return `${role}: ${text}\n`;
    })
    .join('');
}

type SharedBody = Omit<z.infer<typeof textSchema>, 'prompt'>;

function toCompletionBody(
  body: SharedBody,
  prompt: string,
  classHeader: string | undefined,
): Result<CompletionBody, Refusal> {
  return parseWorkClass(classHeader, body.service_tier ?? undefined).map((cls) => ({
    model: body.model,
    prompt,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    class: cls,
  }));
}

/** Gets the class from the header, or else `summary` for OpenAI's `flex` tier. */
function parseWorkClass(
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
      return err(
        notRun('bad_request', 'x-camphorvane-class must be lookup, certificate or summary.'),
      );
  }
}
