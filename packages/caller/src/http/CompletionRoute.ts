import type { ServerResponse } from 'node:http';
import type { Clock, Millis, Refusal, RequestId } from '@camphorvane/core';
import { outcomeUnknown, sleep } from '@camphorvane/core';
import type { CallerBackend, CompletionEvent, CompletionRequest } from '../CallerBackend.ts';
import type { AnswerHead } from '../openai/completionAnswers.ts';
import { finishChunk, tokenChunk, usageChunk, wholeAnswer } from '../openai/completionAnswers.ts';
import type { CompletionBody, CompletionKind } from '../openai/completionBody.ts';
import { refusalBody, refusalResponse } from './refusalStatus.ts';

/** Milliseconds for which a caller may take nothing of a stream before it counts as gone. */
const CALLER_STALL_MS: Millis = 10_000;

/** Names the request in every answer, so that callers and operators can match logs. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** One completion on its way, from the checked body to the end of the answer. */
export interface CompletionCall {
  readonly id: RequestId;
  readonly kind: CompletionKind;
  readonly body: CompletionBody;
  readonly req: CompletionRequest;
  /** Aborted when the caller has gone. */
  readonly gone: AbortController;
}

/** Turns the events of a completion into OpenAI's answers, streamed or whole. */
export class CompletionRoute {
  private readonly backend: CallerBackend;

  private readonly clock: Clock;

  /**
   * @param backend - Serves the completion.
   * @param clock - Times callers that take nothing.
   */
  constructor(backend: CallerBackend, clock: Clock) {
    this.backend = backend;
    this.clock = clock;
  }

  /**
   * Answers with one JSON body.
   *
   * @param call - The completion.
   * @returns The HTTP answer.
   */
  async answerWhole(call: CompletionCall): Promise<Response> {
    const texts: string[] = [];
    for await (const event of this.backend.complete(call.id, call.req, call.gone.signal)) {
      switch (event.type) {
        case 'token':
          texts.push(event.text);
          break;
        case 'done':
          return Response.json(wholeAnswer(this.headOf(call), texts.join(''), event), {
            headers: { [REQUEST_ID_HEADER]: call.id },
          });
        case 'refused':
          return refusalResponse(event.refusal);
        default:
          event satisfies never;
      }
    }
    return refusalResponse(endedWithoutOutcome());
  }

  /**
   * Answers with a stream of server-sent events, or with a plain refusal if nothing was sent yet.
   *
   * @param call - The completion.
   * @param out - The connection to the caller.
   * @returns The plain refusal, or undefined once the stream has been written.
   */
  async answerStream(call: CompletionCall, out: ServerResponse): Promise<Response | undefined> {
    let started = false;
    const head = this.headOf(call);
    for await (const event of this.backend.complete(call.id, call.req, call.gone.signal)) {
      if (!started && event.type === 'refused') return refusalResponse(event.refusal);
      if (!started) this.startStream(call, out);
      const sent = await this.write(out, this.eventText(head, event, !started, call.body));
      started = true;
      if (!sent) call.gone.abort();
      if (event.type !== 'token') {
        out.end();
        return undefined;
      }
    }
    if (!started) return refusalResponse(endedWithoutOutcome());
    await this.write(out, sse(refusalBody(endedWithoutOutcome())));
    out.end();
    return undefined;
  }

  private startStream(call: CompletionCall, out: ServerResponse): void {
    out.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      [REQUEST_ID_HEADER]: call.id,
    });
  }

  private eventText(
    head: AnswerHead,
    event: CompletionEvent,
    first: boolean,
    body: CompletionBody,
  ): string {
    switch (event.type) {
      case 'token':
        return sse(tokenChunk(head, event.text, first));
      case 'done': {
        const usage = body.includeUsage ? sse(usageChunk(head, event)) : '';
        return `${sse(finishChunk(head, event))}${usage}data: [DONE]\n\n`;
      }
      case 'refused':
        // A stream that just ended would look like a short but whole answer.
        return `event: error\n${sse(refusalBody(event.refusal))}`;
      default:
        return event satisfies never;
    }
  }

  /**
   * Writes and, if the caller's side is full, waits for it to take something.
   *
   * A caller that keeps its connection but reads nothing would hold engine memory for as long as
   * it likes; a full socket for {@link CALLER_STALL_MS} ends its request instead.
   */
  private async write(out: ServerResponse, text: string): Promise<boolean> {
    if (out.destroyed) return false;
    if (out.write(text)) return true;
    const stop = new AbortController();
    const drained = new Promise<'drained'>((resolve) => {
      out.once('drain', () => resolve('drained'));
    });
    const closed = new Promise<'closed'>((resolve) => {
      out.once('close', () => resolve('closed'));
    });
    const stalled = sleep(this.clock, CALLER_STALL_MS, stop.signal).then(() => 'stalled' as const);
    const first = await Promise.race([drained, closed, stalled]);
    stop.abort();
    if (first === 'stalled') out.destroy();
    return first === 'drained';
  }

  private headOf(call: CompletionCall): AnswerHead {
    return {
      id: `${call.kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${call.id}`,
      kind: call.kind,
      model: call.body.model,
      created: Math.floor(this.clock.wall() / 1000),
    };
  }
}

/**
 * Gets the refusal for an answer whose events ended without an outcome, which is a fault of ours.
 *
 * @returns A refusal that claims nothing about what ran.
 */
function endedWithoutOutcome(): Refusal {
  return outcomeUnknown('internal', 'The answer ended without an outcome.');
}

function sse(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
