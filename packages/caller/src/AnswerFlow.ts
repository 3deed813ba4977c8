import type { Refusal } from '@camphorvane/core';
import { outcomeUnknown } from '@camphorvane/core';
import type { ForwardEvent } from './CallerBackend.ts';

/** What is wrong with an event, or with the end of the events, at its place in an answer. */
export type AnswerFault =
  | 'second_head'
  | 'data_before_head'
  | 'end_before_head'
  /** Bytes without a position behind events that have one: they can only be another answer's. */
  | 'foreign_bytes'
  | 'position_back'
  | 'over_length'
  | 'under_length'
  | 'after_end'
  /** The events stop without `done` or `refused`. */
  | 'no_end'
  | 'thrown';

/** What a caller has of its answer. */
export type AnswerState =
  | { readonly type: 'open' }
  | {
      readonly type: 'begun';
      /** Bytes that are missing of a body with a length; undefined where it has none. */
      readonly leftBytes: number | undefined;
      /** Position of the last event; undefined before one. */
      readonly lastPosition: number | undefined;
    }
  | { readonly type: 'whole' }
  /** Ended by a refusal before its head. */
  | { readonly type: 'refused' }
  | { readonly type: 'broken' };

/** What an event makes of an answer. */
export type AnswerStep =
  | { readonly type: 'legal'; readonly state: AnswerState }
  | { readonly type: 'illegal'; readonly fault: AnswerFault };

type Begun = Extract<AnswerState, { readonly type: 'begun' }>;
type Data = Extract<ForwardEvent, { readonly type: 'data' }>;

/** The state of an answer of which nothing was sent. */
export const OPEN_ANSWER: AnswerState = { type: 'open' };

/**
 * Gets what the next event makes of an answer.
 *
 * A head comes first, then only data, then one end. Events may share a position, as those without an id of their own
 * have that of the event before, and positions may have gaps, but none is below the one before.
 *
 * @param state - The state of the answer.
 * @param event - The event.
 * @returns The next state, or what is wrong with the event.
 */
export function advance(state: AnswerState, event: ForwardEvent): AnswerStep {
  switch (state.type) {
    case 'open':
      return advanceOpen(event);
    case 'begun':
      return advanceBegun(state, event);
    case 'whole':
    case 'refused':
    case 'broken':
      return illegal('after_end');
    default:
      return state satisfies never;
  }
}

/** Tells whether an answer has ended, in whatever way. */
export function hasEnded({ type }: AnswerState): boolean {
  return type !== 'open' && type !== 'begun';
}

function advanceOpen(event: ForwardEvent): AnswerStep {
  switch (event.type) {
    case 'head':
      return legal({ type: 'begun', leftBytes: event.bodyBytes, lastPosition: undefined });
    case 'data':
      return illegal('data_before_head');
    case 'done':
      return illegal('end_before_head');
    case 'refused':
      return legal({ type: 'refused' });
    default:
      return event satisfies never;
  }
}

function advanceBegun(state: Begun, event: ForwardEvent): AnswerStep {
  switch (event.type) {
    case 'head':
      return illegal('second_head');
    case 'data':
      return advanceData(state, event);
    case 'done':
      return (state.leftBytes ?? 0) > 0 ? illegal('under_length') : legal({ type: 'whole' });
    case 'refused':
      return legal({ type: 'broken' });
    default:
      return event satisfies never;
  }
}

function advanceData(state: Begun, { bytes, position }: Data): AnswerStep {
  const leftBytes = state.leftBytes === undefined ? undefined : state.leftBytes - bytes.length;
  if (leftBytes !== undefined && leftBytes < 0) return illegal('over_length');
  if (position === undefined) {
    const isForeign = state.lastPosition !== undefined && bytes.length > 0;
    return isForeign ? illegal('foreign_bytes') : legal({ ...state, leftBytes });
  }
  return state.lastPosition !== undefined && position < state.lastPosition
    ? illegal('position_back')
    : legal({ type: 'begun', leftBytes, lastPosition: position });
}

function legal(state: AnswerState): AnswerStep {
  return { type: 'legal', state };
}

function illegal(fault: AnswerFault): AnswerStep {
  return { type: 'illegal', fault };
}

/**
 * Lets only the events of a legal answer through, up to its one end. An illegal event ends the answer as broken in its
 * place.
 */
export class AnswerFlow {
  private readonly onIllegal: (fault: AnswerFault) => void;

  private state = OPEN_ANSWER;

  /** @param onIllegal - Called with what is wrong with an event, or with the end of the events. */
  constructor(onIllegal: (fault: AnswerFault) => void = () => undefined) {
    this.onIllegal = onIllegal;
  }

  /** Gets what the caller has of the answer. */
  getState(): AnswerState {
    return this.state;
  }

  /**
   * Takes the next event.
   *
   * @param event - The event.
   * @returns What the caller gets in its place; undefined for nothing, as the answer has ended.
   */
  accept(event: ForwardEvent): ForwardEvent | undefined {
    const step = advance(this.state, event);
    switch (step.type) {
      case 'legal':
        this.state = step.state;
        return event;
      case 'illegal':
        return this.breakOff(step.fault);
      default:
        return step satisfies never;
    }
  }

  /**
   * Records that no event follows.
   *
   * @param fault - Why.
   * @returns What the caller gets of an answer that has not ended.
   */
  close(fault: Extract<AnswerFault, 'no_end' | 'thrown'>): ForwardEvent | undefined {
    return hasEnded(this.state) ? undefined : this.breakOff(fault);
  }

  private breakOff(fault: AnswerFault): ForwardEvent | undefined {
    this.onIllegal(fault);
    if (hasEnded(this.state)) return undefined;
    this.state = { type: this.state.type === 'open' ? 'refused' : 'broken' };
    return { type: 'refused', refusal: refusalOf(fault) };
  }
}

function refusalOf(fault: AnswerFault): Refusal {
  switch (fault) {
    case 'foreign_bytes':
      return outcomeUnknown('outcome_unknown', 'Bytes of another answer followed the events.');
    case 'no_end':
    case 'thrown':
    case 'end_before_head':
      return outcomeUnknown('internal', 'The answer ended without its end.');
    case 'second_head':
    case 'data_before_head':
    case 'position_back':
    case 'over_length':
    case 'under_length':
    case 'after_end':
      return outcomeUnknown('internal', 'The answer went on with something else.');
    default:
      return fault satisfies never;
  }
}
