import type { Millis } from '@camphorvane/core';
import type {
  MoveAction,
  MoveContext,
  MoveFailure,
  MoveInput,
  MoveTransition,
  ResumePoint,
  StreamMove,
} from './StreamMove.ts';

/**
 * Milliseconds after the call that stops a run for which its response, or the end of its stream, is awaited.
 * A longer pause makes streams late, and the copy expires after 500 ms.
 */
export const STOP_WAIT_MS: Millis = 300;

/**
 * Milliseconds for which the second of two signs of the stop, the response and the end of the stream, is
 * awaited after the first.
 */
const SECOND_SIGN_WAIT_MS: Millis = 100;

/** Milliseconds without an event after which a source that did not respond counts as stopped. */
const SILENCE_MS: Millis = 150;

/**
 * Milliseconds within which an engine must begin to send the stream. The KV cache is kept for 500 ms, in
 * which the other engine must be asked as well.
 */
export const RESUME_WAIT_MS: Millis = 200;

/**
 * Milliseconds within which the engine with the copy of a lost stream must begin to send it: it may have to
 * prefill what had not arrived, and no other engine can be asked.
 */
const BACKUP_WAIT_MS: Millis = 1_000;

type Stopping = Extract<StreamMove, { readonly step: 'stopping' }>;
type Resuming = Extract<StreamMove, { readonly step: 'resuming' }>;

/** Gets the state of a move whose first copy has been asked for. */
export function beginMove(): StreamMove {
  return { step: 'copying' };
}

/**
 * Gets the state of a stream whose engine was lost and that is resumed from a copy.
 *
 * @param point - Where the copy is.
 * @param now - Present time.
 */
export function beginResume(point: ResumePoint, now: Millis): MoveTransition {
  const until = now + BACKUP_WAIT_MS;
  return {
    move: { step: 'resuming', point, rest: [], handles: [], until },
    actions: [{ type: 'close' }, { type: 'resume', point }],
  };
}

/**
 * Advances a move.
 *
 * @param move - Its state.
 * @param input - What happened.
 * @param context - When it happened.
 * @returns The next state, and what to do.
 */
export function advanceMove(
  move: StreamMove,
  input: MoveInput,
  context: MoveContext,
): MoveTransition {
  switch (move.step) {
    case 'copying':
      return advanceCopying(move, input, context);
    case 'stopping':
      return advanceStopping(move, input, context);
    case 'resuming':
      return advanceResuming(move, input, context);
    case 'moved':
    case 'failed':
      return { move, actions: releaseLate(input) };
    default:
      return move satisfies never;
  }
}

/** A KV cache that is confirmed after the end of the move must not hold memory. */
function releaseLate(input: MoveInput): readonly MoveAction[] {
  const handle = input.type === 'copied' || input.type === 'no_room' ? input.handle : undefined;
  return handle === undefined ? [] : [{ type: 'release', handle }];
}

function advanceCopying(move: StreamMove, input: MoveInput, { now }: MoveContext): MoveTransition {
  switch (input.type) {
    case 'copied': {
      const response = { type: 'pending' } as const;
      const { handle: copy } = input;
      const until = now + STOP_WAIT_MS;
      return {
        move: { step: 'stopping', copy, response, isClosed: false, lastEventAt: now, until },
        actions: [{ type: 'stop' }],
      };
    }
    case 'no_room':
      return fail('copying', 'no_room', true);
    case 'refused':
      return fail('copying', 'refused', true);
    case 'lost':
      return fail('copying', 'no_response', true);
    case 'ended':
      return fail('copying', 'ended', true);
    case 'closed':
      return fail('copying', 'source_lost', false);
    case 'event':
    case 'accepted':
    case 'rejected':
    case 'timeout':
      return { move, actions: [] };
    default:
      return input satisfies never;
  }
}

function advanceStopping(move: Stopping, input: MoveInput, context: MoveContext): MoveTransition {
  const { now } = context;
  switch (input.type) {
    case 'copied':
      return respond(move, input.events, [at('target', input), at('source', input)], context);
    case 'no_room':
      if (input.handle === undefined) return awaitEnd(move, now);
      return respond(
        move,
        input.events,
        [
          { at: 'source', handle: input.handle },
          { at: 'target', handle: move.copy },
        ],
        context,
      );
    case 'lost':
    case 'refused':
      // The run may be stopped all the same; its stream tells.
      return awaitEnd(move, now);
    case 'event':
      return settle({ ...move, lastEventAt: now }, context);
    case 'closed': {
      const until = Math.min(move.until, now + SECOND_SIGN_WAIT_MS);
      return settle({ ...move, isClosed: true, until }, context);
    }
    case 'ended':
      return fail('stopping', 'ended', true, [{ type: 'release', handle: move.copy }]);
    case 'timeout':
      return now < move.until ? { move, actions: [] } : giveUpWaiting(move, now);
    case 'accepted':
    case 'rejected':
      return { move, actions: [] };
    default:
      return input satisfies never;
  }
}

function advanceResuming(move: Resuming, input: MoveInput, { now }: MoveContext): MoveTransition {
  switch (input.type) {
    case 'accepted':
      return accept(move);
    case 'timeout':
      return now < move.until ? { move, actions: [] } : resumeElsewhere(move, now);
    case 'closed':
    case 'rejected':
      return resumeElsewhere(move, now);
    case 'ended':
      return accept(move);
    case 'copied':
    case 'no_room':
    case 'refused':
    case 'lost':
    case 'event':
      return { move, actions: [] };
    default:
      return input satisfies never;
  }
}

/** Records that the run has stopped, and which engines it can go on at. */
function respond(
  move: Stopping,
  events: number | undefined,
  points: readonly ResumePoint[],
  context: MoveContext,
): MoveTransition {
  const response = { type: 'stopped', events, points } as const;
  const until = context.now + SECOND_SIGN_WAIT_MS;
  return settle({ ...move, response, until }, context);
}

function awaitEnd(move: Stopping, now: Millis): MoveTransition {
  const until = Math.max(move.until, now + SECOND_SIGN_WAIT_MS);
  const next: Stopping = { ...move, response: { type: 'lost' }, until };
  return next.isClosed ? resumeFromFirstCopy(next, now) : { move: next, actions: [] };
}

/** Resumes the run once it has stopped and all its events have arrived. */
function settle(move: Stopping, { now, received }: MoveContext): MoveTransition {
  const { response, isClosed } = move;
  switch (response.type) {
    case 'pending':
      return { move, actions: [] };
    case 'lost':
      return isClosed ? resumeFromFirstCopy(move, now) : { move, actions: [] };
    case 'stopped': {
      const isComplete = received >= (response.events ?? Infinity);
      return isClosed || isComplete
        ? resume(response.points, [move.copy], now)
        : { move, actions: [] };
    }
    default:
      return response satisfies never;
  }
}

function giveUpWaiting(move: Stopping, now: Millis): MoveTransition {
  const { response, isClosed, lastEventAt, copy } = move;
  if (response.type === 'stopped') return resume(response.points, [move.copy], now);
  const continues = !isClosed && now - lastEventAt < SILENCE_MS;
  return continues
    ? fail('stopping', 'no_response', true, [{ type: 'release', handle: copy }])
    : resumeFromFirstCopy(move, now);
}

function resumeFromFirstCopy({ copy }: Stopping, now: Millis): MoveTransition {
  return resume(
    [
      { at: 'target', handle: copy },
      { at: 'source', handle: copy },
    ],
    [copy],
    now,
  );
}

/** The previous connection is closed first: no request may run at two engines. */
function resume(
  points: readonly ResumePoint[],
  handles: readonly string[],
  now: Millis,
): MoveTransition {
  const [point, ...rest] = points;
  if (point === undefined) return fail('resuming', 'both_failed', false, [{ type: 'close' }]);
  return {
    move: { step: 'resuming', point, rest, handles, until: now + RESUME_WAIT_MS },
    actions: [{ type: 'close' }, { type: 'resume', point }],
  };
}

function resumeElsewhere({ point, rest, handles }: Resuming, now: Millis): MoveTransition {
  return resume(rest, [...handles, point.handle], now);
}

function accept({ point, rest, handles }: Resuming): MoveTransition {
  const known = [...handles, ...rest.map(({ handle }) => handle)];
  const unused = new Set(known.filter((handle) => handle !== point.handle));
  const actions = [...unused].map((handle): MoveAction => ({ type: 'release', handle }));
  return point.at === 'target'
    ? { move: { step: 'moved' }, actions }
    : fail('resuming', 'target_failed', true, actions);
}

function fail(
  failedStep: 'copying' | 'stopping' | 'resuming',
  failure: MoveFailure,
  isAlive: boolean,
  actions: readonly MoveAction[] = [],
): MoveTransition {
  return { move: { step: 'failed', failedStep, failure, isAlive }, actions };
}

function at(
  side: ResumePoint['at'],
  { handle }: Extract<MoveInput, { readonly type: 'copied' }>,
): ResumePoint {
  return { at: side, handle };
}
