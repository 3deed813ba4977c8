import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Clock, Refusal, RequestId } from '@camphorvane/core';
import { outcomeUnknown, reportFault } from '@camphorvane/core';
import { AnswerFlow } from '../AnswerFlow.ts';
import type {
  CallerBackend,
  CompletionEvent,
  CompletionRequest,
  ForwardEvent,
} from '../CallerBackend.ts';
import type { CompletionHead } from '../openai/completionResponses.ts';
import {
  finishChunk,
  tokenChunk,
  usageChunk,
  completionResponse,
} from '../openai/completionResponses.ts';
import type { CompletionBody, CompletionKind } from '../openai/completionBody.ts';
import { tooLargeToHold } from './HeldBody.ts';
import { refusalBody, refusalResponse } from './refusalStatus.ts';
import { ResponseWriter } from './ResponseWriter.ts';

/** Head of every completion that is not refused. */
const STREAM_HEAD: ForwardEvent = { type: 'head', status: 200, headers: {} };

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
    for await (const event of this.eventsOf(call)) {
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
    const writer = new ResponseWriter(out, this.clock);
    for await (const event of this.eventsOf(call)) {
      if (!writer.hasBegun() && event.type === 'refused') return refusalResponse(event.refusal);
      if (!started) writer.begin(200, streamHeaders(call));
      const sent = await writer.write(this.formatEvent(head, event, !started, call.body));
      started = true;
      if (!sent) call.disconnected.abort();
      if (!sent && !writer.hasBegun()) return refusalResponse(tooLargeToHold());
      if (event.type === 'done') writer.end();
      if (event.type === 'refused') await writer.breakOff();
    }
    return undefined;
  }

  /** Gets the events of a completion up to its outcome; where it has none, a refusal is the last one. */
  private async *eventsOf({
    id,
    req,
    disconnected,
  }: CompletionCall): AsyncGenerator<CompletionEvent> {
    const flow = new AnswerFlow();
    flow.accept(STREAM_HEAD);
    try {
      for await (const event of this.backend.complete(id, req, disconnected.signal)) {
        const accepted = flow.accept(toForwardEvent(event));
        if (accepted?.type === 'refused') {
          yield accepted;
          return;
        }
        yield event;
        if (event.type === 'done') return;
      }
    } catch (thrown) {
      reportFault('caller.request', thrown);
    }
    const missing = flow.close('no_end');
    if (missing?.type === 'refused') yield missing;
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

/** Gets the event by which the state of an answer is told. */
function toForwardEvent(event: CompletionEvent): ForwardEvent {
  switch (event.type) {
    case 'token':
      return { type: 'data', bytes: Buffer.from(event.text), position: event.position };
    case 'done':
      return { type: 'done' };
    case 'refused':
      return event;
    default:
      return event satisfies never;
  }
}

function streamHeaders(call: CompletionCall): OutgoingHttpHeaders {
  return {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
    [REQUEST_ID_HEADER]: call.id,
  };
}

function formatSse(value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
