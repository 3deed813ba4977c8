import { AnswerFlow } from '@camphorvane/caller';
import type { AnswerFault, AnswerState, ForwardEvent } from '@camphorvane/caller';
import type { Refusal } from '@camphorvane/core';
import { answerCause } from './answerCause.ts';
import type { AnswerCause } from './answerCause.ts';

/** How an answer ended towards its caller. */
export type AnswerEnd = 'whole' | 'refused' | 'broken' | 'unended';

/** How the end of a server's answer is told: by its length or chunks, or only by the close of its connection. */
export type AnswerFraming = 'marked' | 'close';

/** What an answer held when it ended. */
export interface AnswerSummary {
  readonly end: AnswerEnd;
  /** Why it is not whole; undefined where it is. */
  readonly cause: AnswerCause | undefined;
  /** Status that the caller got; undefined where the answer was refused before its head. */
  readonly status: number | undefined;
  readonly framing: AnswerFraming | undefined;
  /** Events with a position. */
  readonly events: number;
  readonly lastPosition: number | undefined;
  /** Chunks without a position that followed an event. */
  readonly foreignChunks: number;
}

/** Observes the events of one answer on their way to its caller, and lets only a legal answer through. */
export class AnswerRecord {
  private readonly flow: AnswerFlow;

  private head: Extract<ForwardEvent, { readonly type: 'head' }> | undefined;

  private events = 0;

  private lastPosition: number | undefined;

  private foreignChunks = 0;

  private fault: AnswerFault | undefined;

  private refusal: Refusal | undefined;

  /** @param onIllegal - Called with what is wrong with an event that is not passed on, or with the events' end. */
  constructor(onIllegal: (fault: AnswerFault) => void) {
    this.flow = new AnswerFlow((fault) => {
      if (fault === 'foreign_bytes') this.foreignChunks += 1;
      if (fault !== 'after_end') this.fault = fault;
      onIllegal(fault);
    });
  }

  /**
   * Records the events of the answer as they are asked for. At an event that can't follow the answer is broken off,
   * and its source closed.
   *
   * @param events - The events.
   * @returns The events for the caller; the last one is `done` or `refused`.
   */
  async *observe(events: AsyncIterable<ForwardEvent>): AsyncGenerator<ForwardEvent> {
    try {
      for await (const event of events) {
        const accepted = this.flow.accept(event);
        if (accepted !== undefined) {
          this.record(accepted);
          yield accepted;
        }
        if (accepted !== event) return;
      }
    } catch (thrown) {
      this.flow.close('thrown');
      throw thrown;
    }
    const missing = this.flow.close('no_end');
    if (missing !== undefined) yield missing;
  }

  private record(event: ForwardEvent): void {
    switch (event.type) {
      case 'head':
        this.head = event;
        break;
      case 'data':
        if (event.position === undefined) break;
        this.events += 1;
        this.lastPosition = event.position;
        break;
      case 'refused':
        this.refusal = event.refusal;
        break;
      case 'done':
        break;
      default:
        event satisfies never;
    }
  }

  /**
   * Gets what the answer held when it ended.
   *
   * @param abortedBy - Why its request was aborted; undefined where it was not.
   */
  summarize(abortedBy: Refusal | undefined): AnswerSummary {
    const { head, events, lastPosition, foreignChunks, fault, refusal } = this;
    const end = endOf(this.flow.getState());
    const framing = head?.endsWithConnection === true ? 'close' : 'marked';
    return {
      ...{ end, events, lastPosition, foreignChunks },
      cause: end === 'whole' ? undefined : answerCause(fault, abortedBy ?? refusal),
      status: head?.status,
      framing: head === undefined ? undefined : framing,
    };
  }
}

function endOf(state: AnswerState): AnswerEnd {
  switch (state.type) {
    case 'open':
    case 'begun':
      return 'unended';
    case 'whole':
    case 'refused':
    case 'broken':
      return state.type;
    default:
      return state satisfies never;
  }
}
