import type { CancelTimer } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import type {
  MoveAction,
  MoveInput,
  MoveTransition,
  ResumePoint,
  StreamMove,
} from '@camphorvane/decisions';
import { advanceMove, beginMove, beginResume } from '@camphorvane/decisions';
import type { DecodeCommand, MoveResult, UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import type { EngineEntry } from '../host/UpstreamDirectory.ts';
import type { RelocationRecord } from './RelocationRecord.ts';
import type { StopOutcome } from './StopOrders.ts';
import type { StreamDependencies, StreamRequest } from './streamRequest.ts';

/** The last state of a move. */
export type EndedMove = Extract<StreamMove, { readonly step: 'moved' | 'failed' }>;

/** Where an engine gets the KV cache of a stream that goes on there. */
export type KvOrigin = Pick<DecodeCommand, 'kvHandle' | 'fromBackup'>;

/** The stream that a {@link MoveExecution} moves. */
export interface MovingStream {
  /** Gets the position of the next event. */
  getPosition(): number;
  /** Tells whether the stream is about to end, so that it is not stopped any more. */
  isNearEnd(): boolean;
  /** Records that the engine is asked to stop the run; the result is called with the outcome. */
  beginStop(): (outcome: StopOutcome) => void;
  /** Closes the connection to the engine that ran the stream. */
  closeRun(): void;
  /** Sends the request to an engine that has the KV cache. */
  resumeAt(engine: EngineEntry, origin: KvOrigin): void;
  /** Called once at the end of the move. */
  endMove(move: EndedMove): void;
}

/** Input of a {@link MoveExecution}. */
export interface MovePlan {
  readonly deps: Pick<StreamDependencies, 'clock' | 'departures'>;
  readonly prompt: StreamRequest['command']['prompt'];
  readonly source: EngineEntry;
  readonly target: EngineEntry;
  readonly record: RelocationRecord;
  readonly stream: MovingStream;
}

/** Executes the move of one stream, or its switch to a backup, as {@link advanceMove} decides. */
export class MoveExecution {
  private readonly plan: MovePlan;

  private state: StreamMove = beginMove();

  /** Whether the engine that was asked to resume has sent the head of its response. */
  private hasHead = false;

  private isFromBackup = false;

  private hasEnded = false;

  private cancelTimer: CancelTimer = () => undefined;

  /** @param plan - What moves, and how. */
  constructor(plan: MovePlan) {
    this.plan = plan;
  }

  /** Asks the source for the first copy. */
  startCopy(): void {
    this.plan.record.begin();
    runInBackground('move', () => this.copy(false));
  }

  /** Sends the request to the engine that has received a copy as the stream grew. */
  startFromBackup(): void {
    this.isFromBackup = true;
    this.plan.record.begin();
    this.apply(beginResume({ at: 'target', handle: '' }, this.plan.deps.clock.now()));
  }

  /** Gets the engine that the stream leaves. */
  getSource(): EngineEntry {
    return this.plan.source;
  }

  /** Gets the present step. */
  getStep(): StreamMove['step'] {
    return this.state.step;
  }

  /** Records that an engine has sent the head of its response. */
  recordHead(): void {
    this.hasHead = true;
  }

  /** Advances the move. */
  advance(input: MoveInput): void {
    const context = { now: this.plan.deps.clock.now(), received: this.plan.stream.getPosition() };
    this.apply(advanceMove(this.state, input, context));
  }

  /** Ends the move because the stream has ended, and releases the copy. */
  abandon(): void {
    const { step } = this.state;
    this.obtainedHandles().forEach((handle) => this.release(handle));
    if (step === 'moved' || step === 'failed') return;
    const move = { step: 'failed', failedStep: step, failure: 'ended', isAlive: true } as const;
    this.apply({ move, actions: [] });
  }

  /** Asks the source for a copy; the last one stops the run. */
  private async copy(last: boolean): Promise<void> {
    const { prompt, source, target, stream } = this.plan;
    const settleStop = last ? stream.beginStop() : undefined;
    const result = await source.engine.move?.({ prompt, targetUrl: target.cfg.url, last });
    const input = toMoveInput(result);
    settleStop?.(isUnreachable(result) ? 'undelivered' : stopOutcome(input));
    if (!last && input.type === 'copied' && stream.isNearEnd()) this.advance({ type: 'ended' });
    this.advance(input);
  }

  private apply({ move, actions }: MoveTransition): void {
    const before = this.state.step;
    this.state = move;
    actions.forEach((action) => this.perform(action));
    // An action may have advanced the move already.
    if (this.state !== move || this.hasEnded) return;
    if (before !== move.step) this.plan.record.enter(move);
    this.cancelTimer();
    switch (move.step) {
      case 'copying':
        break;
      case 'stopping':
      case 'resuming':
        this.cancelTimer = this.plan.deps.clock.after(
          move.until - this.plan.deps.clock.now(),
          () => {
            if (this.state.step !== 'resuming' || !this.hasHead) this.advance({ type: 'timeout' });
          },
        );
        break;
      case 'moved':
      case 'failed':
        this.hasEnded = true;
        this.plan.stream.endMove(move);
        break;
      default:
        move satisfies never;
    }
  }

  private perform(action: MoveAction): void {
    switch (action.type) {
      case 'stop':
        runInBackground('move', () => this.copy(true));
        break;
      case 'close':
        this.plan.stream.closeRun();
        break;
      case 'resume':
        this.resumeAt(action.point);
        break;
      case 'release':
        this.release(action.handle);
        break;
      default:
        action satisfies never;
    }
  }

  private resumeAt({ at, handle }: ResumePoint): void {
    const { source, target, stream, deps } = this.plan;
    const entry = at === 'target' ? target : source;
    this.hasHead = false;
    if (!deps.departures.mayGoOnAt(entry.cfg.id)) {
      this.advance({ type: 'rejected' });
      return;
    }
    const origin = this.isFromBackup
      ? { kvHandle: undefined, fromBackup: true }
      : { kvHandle: handle };
    stream.resumeAt(entry, origin);
  }

  /** Gets the handles that may still hold memory. */
  private obtainedHandles(): readonly string[] {
    const { state } = this;
    switch (state.step) {
      case 'stopping':
        return [state.copy];
      case 'resuming': {
        const handles = [state.point, ...state.rest].map(({ handle }) => handle);
        return this.isFromBackup ? [] : [...new Set([...state.handles, ...handles])];
      }
      case 'copying':
      case 'moved':
      case 'failed':
        return [];
      default:
        return state satisfies never;
    }
  }

  private release(handle: string): void {
    runInBackground('move', () => this.plan.source.engine.dropHandle?.(handle));
  }
}

function toMoveInput(result: Result<MoveResult, UpstreamError> | undefined): MoveInput {
  if (result === undefined) return { type: 'refused' };
  if (result.isErr()) return { type: result.error.dispatched ? 'lost' : 'refused' };
  const { value } = result;
  switch (value.type) {
    case 'copied':
      return { type: 'copied', handle: value.kvHandle, events: value.events };
    case 'no_room':
      return { type: 'no_room', handle: value.kvHandle, events: value.events };
    case 'refused':
      return { type: 'refused' };
    default:
      return value satisfies never;
  }
}

/** Tells whether the process that ran the stream can't be reached, or another one has its address. */
function isUnreachable(result: Result<MoveResult, UpstreamError> | undefined): boolean {
  return result?.isErr() === true && result.error.type === 'unreachable';
}

/** Tells what a response to the call that stops a run says about the stop. */
function stopOutcome(input: MoveInput): StopOutcome {
  if (input.type === 'refused') return 'refused';
  const isStopped =
    input.type === 'copied' || (input.type === 'no_room' && input.handle !== undefined);
  return isStopped ? 'carried_out' : 'unknown';
}
