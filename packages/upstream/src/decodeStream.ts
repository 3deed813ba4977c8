import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { DecodeCommand, DecodeEvent, UpstreamError } from './ModelEngine.ts';
import type { ProgressDeadline } from './ProgressDeadline.ts';
import { decodeEventSchema } from './wire.ts';

/** Longest line accepted, in characters; a token's event is far shorter. */
const MAX_LINE_LENGTH = 64 * 1024;

/**
 * Reads a decode stream (one JSON event per line) and validates each event against its command.
 *
 * A late or misrouted response carries another attempt's id, and a resumed stream may repeat or skip
 * positions. An event is yielded only if its attempt matches and its position is the next one, so that
 * a caller never gets another request's text or a gap.
 *
 * @param body - The response body.
 * @param cmd - The command that was sent.
 * @param deadline - Reset by each chunk.
 * @returns Events in order; ends after `done` or after one error.
 */
export async function* readDecodeEvents(
  body: AsyncIterable<Uint8Array>,
  cmd: DecodeCommand,
  deadline: ProgressDeadline,
): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
  const decoder = new TextDecoder();
  let buffered = '';
  let expectedPosition = cmd.fromPosition;
  for await (const chunk of body) {
    deadline.recordProgress();
    buffered += decoder.decode(chunk, { stream: true });
    const lines = buffered.split('\n');
    buffered = lines.pop() ?? '';
    if (buffered.length > MAX_LINE_LENGTH) {
      yield err(brokenError('line too long'));
      return;
    }
    let index = 0;
    while (index < lines.length) {
      const event = validateLine(lines[index] ?? '', cmd, expectedPosition);
      yield event;
      if (event.isErr() || event.value.type === 'done') return;
      expectedPosition += 1;
      index += 1;
    }
  }
  yield err(truncatedError());
}

function validateLine(
  line: string,
  cmd: DecodeCommand,
  expectedPosition: number,
): Result<DecodeEvent, UpstreamError> {
  const event = parseLine(line);
  if (event === undefined) return err(brokenError('malformed event'));
  if (event.attempt !== cmd.attempt) return err(mismatchError('event belongs to another attempt'));
  if (event.type === 'token' && event.position !== expectedPosition) {
    return err(mismatchError(`position ${event.position} instead of ${expectedPosition}`));
  }
  return ok(event);
}

function parseLine(line: string): DecodeEvent | undefined {
  try {
    const parsed = decodeEventSchema.safeParse(JSON.parse(line));
    if (!parsed.success) return undefined;
    const { data } = parsed;
    return data.type === 'done' ? { ...data, ending: 'marked' } : data;
  } catch {
    return undefined;
  }
}

function truncatedError(): UpstreamError {
  return { type: 'broken', dispatched: true, message: 'stream ended before its done event' };
}

function brokenError(message: string): UpstreamError {
  return { type: 'broken', dispatched: true, answered: true, message };
}

function mismatchError(message: string): UpstreamError {
  return { type: 'mismatch', dispatched: true, message };
}
