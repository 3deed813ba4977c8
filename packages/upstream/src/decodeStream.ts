import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { DecodeCommand, DecodeEvent, UpstreamError } from './ModelEngine.ts';
import type { ProgressDeadline } from './ProgressDeadline.ts';
import { decodeEventSchema } from './wire.ts';

/** Longest line accepted, in characters; one token's text is far shorter. */
const MAX_LINE = 64 * 1024;

/**
 * Reads a decode stream (one JSON event a line) and checks each event against its command.
 *
 * A late or crossed answer carries another attempt's id, and a resumed one may repeat or skip
 * positions; both would put a stranger's or a wrong text before a caller. So nothing is passed on
 * unless the attempt matches and the position is the next one.
 *
 * @param body - The bytes of the answer.
 * @param cmd - What was asked.
 * @param deadline - Told of each chunk that arrives.
 * @returns Events in order; ends after `done` or after one error.
 */
export async function* readDecodeEvents(
  body: AsyncIterable<Uint8Array>,
  cmd: DecodeCommand,
  deadline: ProgressDeadline,
): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
  const decoder = new TextDecoder();
  let rest = '';
  let expected = cmd.fromPosition;
  for await (const chunk of body) {
    deadline.progress();
    rest += decoder.decode(chunk, { stream: true });
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE) {
      yield err(broken('line too long'));
      return;
    }
    let next = 0;
    while (next < lines.length) {
      const event = checkLine(lines[next] ?? '', cmd, expected);
      yield event;
      if (event.isErr() || event.value.type === 'done') return;
      expected += 1;
      next += 1;
    }
  }
  yield err(broken('stream ended early'));
}

function checkLine(
  line: string,
  cmd: DecodeCommand,
  expected: number,
): Result<DecodeEvent, UpstreamError> {
  const event = parseLine(line);
  if (event === undefined) return err(broken('malformed event'));
  if (event.attempt !== cmd.attempt) return err(mismatch('event of another attempt'));
  if (event.type === 'token' && event.position !== expected) {
    return err(mismatch(`position ${event.position} instead of ${expected}`));
  }
  return ok(event);
}

function parseLine(line: string): DecodeEvent | undefined {
  try {
    const parsed = decodeEventSchema.safeParse(JSON.parse(line));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function broken(message: string): UpstreamError {
  return { type: 'broken', dispatched: true, message };
}

function mismatch(message: string): UpstreamError {
  return { type: 'mismatch', dispatched: true, message };
}
