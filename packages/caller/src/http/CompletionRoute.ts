import type { ServerResponse } from 'node:http';
import type { Clock, Millis, Refusal, RequestId } from '@camphorvane/core';
import { outcomeUnknown, sleep } from '@camphorvane/core';
import type { CallerBackend, CompletionEvent, CompletionRequest } from '../CallerBackend.ts';
import type { CompletionHead } from '../openai/completionResponses.ts';
import {
  finishChunk,
  tokenChunk,
  usageChunk,
  completionResponse,
} from '../openai/completionResponses.ts';
import type { CompletionBody, CompletionKind } from '../openai/completionBody.ts';
import { refusalBody, refusalResponse } from './refusalStatus.ts';

/** Milliseconds without a read by the caller after which its stream is aborted. */
const CALLER_STALL_MS: Millis = 10_000;

/** Header with the request id in every response, to correlate logs of callers and operators. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** One completion in flight, from the validated body to the end of the response. */
export interface CompletionCall {
  readonly id: RequestId;
  readonly kind: CompletionKind;
  readonly body: CompletionBody;
  readonly req: CompletionRequest;
  /** Aborted when the caller disconnects. */
  readonly disconnected: AbortController;
}

/** Writes the events of a completion as an OpenAI response, streamed or as one JSON body. */
export class CompletionRoute {
  private readonly backend: CallerBackend;

  private readonly clock: Clock;

  /**
   * @param backend - Serves the completion.
   * @param clock - Times callers that stop reading.
   */
  constructor(backend: CallerBackend, clock: Clock) {
    this.backend = backend;
    this.clock = clock;
  }

  /**
   * Responds with one JSON body.
   *
   * @param call - The completion.
   * @returns The HTTP response.
   */
  async respondWithJson(call: CompletionCall): Promise<Response> {
    const texts: string[] = [];
    for await (const event of this.backend.complete(call.id, call.req, call.disconnected.signal)) {
      switch (event.type) {
        case 'token':
          texts.push(event.text);
          break;
        case 'done':
          return Response.json(completionResponse(this.createHead(call), texts.join(''), event), {
            headers: { [REQUEST_ID_HEADER]: call.id },
          });
        case 'refused':
          return refusalResponse(event.refusal);
        default:
          event satisfies never;
      }
    }
    return refusalResponse(missingOutcomeRefusal());
  }

  /**
   * Responds with a stream of server-sent events, or with an error response if nothing was sent yet.
   *
   * @param call - The completion.
   * @param out - The response to the caller.
   * @returns The error response, or undefined once the stream has been written.
   */
  async respondWithStream(
    call: CompletionCall,
    out: ServerResponse,
  ): Promise<Response | undefined> {
    let started = false;
    const head = this.createHead(call);
    for await (const event of this.backend.complete(call.id, call.req, call.disconnected.signal)) {
      if (!started && event.type === 'refused') return refusalResponse(event.refusal);
      if (!started) this.writeStreamHead(call, out);
      const sent = await this.write(out, this.formatEvent(head, event, !started, call.body));
      started = true;
      if (!sent) call.disconnected.abort();
      if (event.type !== 'token') {
        out.end();
        return undefined;
      }
    }
    if (!started) return refusalResponse(missingOutcomeRefusal());
    await this.write(out, formatSse(refusalBody(missingOutcomeRefusal())));
    out.end();
    return undefined;
  }

  private writeStreamHead(call: CompletionCall, out: ServerResponse): void {
    out.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      [REQUEST_ID_HEADER]: call.id,
    });
  }

  private formatEvent(
    head: CompletionHead,
    event: CompletionEvent,
    first: boolean,
    body: CompletionBody,
  ): string {
    switch (event.type) {
      case 'token':
        return formatSse(tokenChunk(head, event.text, first));
      case 'done': {
        const usage = body.includeUsage ? formatSse(usageChunk(head, event)) : '';
        return `${formatSse(finishChunk(head, event))}${usage}data: [DONE]\n\n`;
      }
      case 'refused':
        // Without an error event the truncated stream would look like a short but complete response.
        return `event: error\n${formatSse(refusalBody(event.refusal))}`;
      default:
        return event satisfies never;
    }
  }

  /**
   * Writes with backpressure: waits for `drain` if the send buffer is full.
   *
   * A caller that keeps its connection open without reading would hold engine memory indefinitely, so
   * its connection is destroyed when the buffer stays full for {@link CALLER_STALL_MS}.
   *
   * @returns False once the connection is closed.
   */
  private async write(out: ServerResponse, text: string): Promise<boolean> {
    if (out.destroyed) return false;
    if (out.write(text)) return true;
    const timerAbort = new AbortController();
    const drained = new Promise<'drained'>((resolve) => {
      out.once('drain', () => resolve('drained'));
    });
    const closed = new Promise<'closed'>((resolve) => {
      out.once('close', () => resolve('closed'));
    });
    const stalled = sleep(this.clock, CALLER_STALL_MS, timerAbort.signal).then(
      () => 'stalled' as const,
    );
    const first = await Promise.race([drained, closed, stalled]);
    timerAbort.abort();
    if (first === 'stalled') out.destroy();
    return first === 'drained';
  }

  private createHead(call: CompletionCall): CompletionHead {
    return {
      id: `${call.kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${call.id}`,
      kind: call.kind,
      model: call.body.model,
      created: Math.floor(this.clock.wall() / 1000),
    };
  }
}

/**
 * Creates the refusal for events that ended without `done` or `refused`, an internal error.
 *
 * @returns A refusal with execution `unknown`.
 */
function missingOutcomeRefusal(): Refusal {
  return outcomeUnknown('internal', 'The response ended without an outcome.');
}

function formatSse(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
