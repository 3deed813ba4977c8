import type { EngineConfig, Millis, UpstreamId, Clock } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type {
  DecodeCommand,
  DecodeEvent,
  ModelEngine,
  MoveCommand,
  MoveResult,
  UpstreamError,
} from '@camphorvane/upstream';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineEntry } from '../../src/host/UpstreamDirectory.ts';

export const EVENT_MS: Millis = 42;
export const EVENT_COUNT = 40;
export const EVENT_TOKENS = 77;
const COPY_MS: Millis = 3;
const HANDLE_TTL_MS: Millis = 500;
const CALL_TIMEOUT_MS: Millis = 300;

/** What goes wrong in a call that moves a KV cache, or in the request that resumes the stream. */
export type CallFault =
  | 'none'
  /** The source rejects the call. */
  | 'refused'
  | 'no_room'
  /** The call takes effect, but its response is lost. */
  | 'response_lost'
  /** The call is lost. */
  | 'call_lost'
  /** The copy is gone when the target is asked for it. */
  | 'expired'
  /** The call gets no response, and takes effect later, at whatever run of the request the engine has then. */
  | 'late'
  /** The engine's process ends before the call: its connections close in order, and its address refuses others. */
  | 'gone';

const UNANSWERED: ReadonlySet<CallFault> = new Set(['response_lost', 'call_lost', 'late']);

/** A move after the first one. */
export interface LaterMove {
  /** Time after the move before it. */
  readonly afterMs: Millis;
  readonly stop: CallFault;
}

/** Course of one run of the world. */
export interface WorldScript {
  readonly copy?: CallFault;
  readonly stop?: CallFault;
  /** Time from the call that stops a run until it takes effect, where that is late. */
  readonly lateMs?: Millis;
  /** Moves after the first one, each to the other engine. */
  readonly laterMoves?: readonly LaterMove[];
  /** Events of the stream that the request allows beyond those that it has. */
  readonly unusedEvents?: number;
  /** Engine that dies, and when. */
  readonly death?: { readonly engine: 'source' | 'target'; readonly at: Millis };
  /** Events that an engine repeats when it resumes. */
  readonly repeats?: number;
  /** Whether only the close of the connection ends the streams. */
  readonly hasUnmarkedEnd?: boolean;
  readonly hasBackup?: boolean;
  /** Time that the caller takes to read an event. */
  readonly readMs?: Millis;
}

const LOST: UpstreamError = { type: 'silent', dispatched: true, message: 'no progress' };
const BROKEN: UpstreamError = { type: 'broken', dispatched: true, message: 'closed' };
const UNREACHABLE: UpstreamError = { type: 'unreachable', dispatched: false, message: 'refused' };
const REJECTED: UpstreamError = { type: 'rejected', dispatched: false, message: 'no copy' };

/** A KV cache that a move has left. */
export interface Copy {
  readonly until: Millis;
  readonly at: Set<UpstreamId>;
}

/** What the engines of a world share. */
export interface EngineWorld {
  readonly clock: Clock;
  readonly script: WorldScript;
  readonly copies: Map<string, Copy>;
  readonly released: string[];
  /** Engines that work on the request now. */
  readonly working: Set<UpstreamId>;
  /** Most engines that have worked on the request at a time. */
  mostWorking: number;
  /** Whether an engine died with the only KV cache of the stream. */
  isCacheLost: boolean;
  /** Whether an order without a response has stopped a run later, and no backup was left. */
  isStoppedLate: boolean;
  /**
   * Whether a stream ended in a way that looks like a stop, at an engine that left an order to stop it unanswered, or
   * like the loss of an engine that had taken it up.
   */
  isEndDoubtful: boolean;
  /** What goes wrong in the calls of the present move. */
  readonly faults: { readonly copy: CallFault; readonly stop: CallFault };
  getOther(engine: 'source' | 'target'): { readonly isDead: boolean; readonly hasRun: boolean };
}

const engineConfig = (id: string): EngineConfig => ({
  ...{ id, url: `http://${id}`, zone: 'a', role: 'decode', memoryPieces: 700, slots: 12 },
  ...{ checksFencing: false, eventTokens: EVENT_TOKENS },
});

/** A decode engine that moves streams by the rules of the platform. */
export class WorldEngine implements ModelEngine {
  readonly entry: EngineEntry;

  isDead = false;

  /** Whether the engine has taken the stream. */
  hasRun = false;

  /** Requests to decode the stream, also those that were rejected. */
  requests = 0;

  /** Position of the next event of the run; undefined while none runs. */
  private position: number | undefined;

  private isStopped = false;

  private copyCount = 0;

  /** Whether a call that stops a run got no response. */
  private hasUnansweredStop = false;

  private interrupt = new AbortController();

  constructor(
    readonly id: 'source' | 'target',
    private readonly world: EngineWorld,
  ) {
    this.entry = { cfg: engineConfig(id), engine: this };
  }

  /** Closes all connections, and forgets all KV caches. */
  die(): void {
    const { copies, working } = this.world;
    this.isDead = true;
    const other = this.id === 'source' ? 'target' : 'source';
    const now = this.world.clock.now();
    copies.forEach((copy) => copy.at.delete(this.id));
    const isCopied = [...copies.values()].some(({ at, until }) => at.has(other) && until > now);
    this.world.isCacheLost ||= working.has(this.id) && !isCopied && !this.isBackedUp();
    this.interrupt.abort();
  }

  async *decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
    const { clock, script, working } = this.world;
    const { attempt } = cmd;
    this.requests += 1;
    await sleep(clock, 1, signal);
    if (this.isDead || !this.takeCopy(cmd)) {
      yield err(REJECTED);
      return;
    }
    this.hasRun = true;
    const endsWithConnection = script.hasUnmarkedEnd === true;
    const ending = endsWithConnection ? 'closed' : 'marked';
    yield ok({ type: 'head', attempt, head: { status: 200, headers: {}, endsWithConnection } });
    this.interrupt = new AbortController();
    this.isStopped = false;
    working.add(this.id);
    this.world.mostWorking = Math.max(this.world.mostWorking, working.size);
    let position = Math.max(0, cmd.fromPosition - (script.repeats ?? 0));
    try {
      while (position < EVENT_COUNT) {
        this.position = position;
        await sleep(clock, EVENT_MS, AbortSignal.any([signal, this.interrupt.signal]));
        if (signal.aborted || this.isDead || this.isStopped) {
          if (endsWithConnection && this.isStopped)
            yield ok({ type: 'done', attempt, reason: 'stop', outputTokens: position, ending });
          else yield err(BROKEN);
          return;
        }
        yield ok({ type: 'piece', attempt, position, bytes: Buffer.from(String(position)) });
        position += 1;
      }
      const hasAllOutput = (script.unusedEvents ?? 0) === 0;
      if (endsWithConnection && !hasAllOutput) {
        // A run that brings nothing new closes as one whose engine was lost before its first event.
        const isEmpty = cmd.fromPosition > 0 && position === cmd.fromPosition;
        this.world.isEndDoubtful = this.hasUnansweredStop || isEmpty;
      }
      yield ok({ type: 'done', attempt, reason: 'stop', outputTokens: position, ending });
    } finally {
      this.position = undefined;
      working.delete(this.id);
    }
  }

  move({ last }: MoveCommand): ResultAsync<MoveResult, UpstreamError> {
    return new ResultAsync(this.copy(last));
  }

  dropHandle(handle: string): ResultAsync<void, UpstreamError> {
    this.world.released.push(handle);
    this.world.copies.delete(handle);
    return okAsync(undefined);
  }

  prefill = () => errAsync(REJECTED);

  transfer = () => okAsync(undefined);

  cancel = () => okAsync(undefined);

  load = () => errAsync(REJECTED);

  order = () => errAsync(REJECTED);

  private async copy(last: boolean): Promise<Result<MoveResult, UpstreamError>> {
    const { clock, script, copies, faults } = this.world;
    const other = this.id === 'source' ? 'target' : 'source';
    const fault = last ? faults.stop : faults.copy;
    await sleep(clock, 1);
    this.hasUnansweredStop ||= last && UNANSWERED.has(fault);
    if (fault === 'late' && last) {
      clock.after(script.lateMs ?? 0, () => {
        this.world.isStoppedLate ||= this.position !== undefined && !this.isBackedUp();
        this.stop();
      });
    }
    if (fault === 'call_lost' || fault === 'late') {
      await sleep(clock, CALL_TIMEOUT_MS);
      return err(LOST);
    }
    if (fault === 'gone') {
      this.stop();
      await sleep(clock, 1);
      return err(UNREACHABLE);
    }
    if (this.isDead) return err(BROKEN);
    if (fault === 'refused' || this.position === undefined) return ok({ type: 'refused' });
    const events = this.position;
    if (last) this.stop();
    await sleep(clock, COPY_MS);
    if (this.isDead) return err(BROKEN);
    this.copyCount += 1;
    const kvHandle = `${this.id}/h${this.copyCount}`;
    const hasRoom = fault !== 'no_room' && !this.world.getOther(this.id).isDead;
    const at = new Set<UpstreamId>([
      ...(last ? [this.id] : []),
      ...(hasRoom && fault !== 'expired' ? [other] : []),
    ]);
    if (hasRoom || last) copies.set(kvHandle, { until: clock.now() + HANDLE_TTL_MS, at });
    if (fault === 'response_lost') {
      await sleep(clock, 20);
      return err(LOST);
    }
    if (hasRoom) return ok({ type: 'copied', kvHandle, events });
    return ok({ type: 'no_room', kvHandle: last ? kvHandle : undefined, events });
  }

  /** Tells whether the other engine has a backup; once it has taken the stream there is no other copy. */
  private isBackedUp(): boolean {
    const { script } = this.world;
    const hasBackup = script.hasBackup === true && this.id === 'source';
    return hasBackup && !this.world.getOther(this.id).hasRun;
  }

  /** Stops the run, if there is one. */
  private stop(): void {
    if (this.position === undefined) return;
    this.isStopped = true;
    this.interrupt.abort();
  }

  /** Uses a copy, which can be done once. */
  private takeCopy({ kvHandle, fromBackup }: DecodeCommand): boolean {
    if (fromBackup === true) return this.world.script.hasBackup === true && this.id === 'target';
    // The KV cache of a prefill engine is always there.
    if (kvHandle === undefined || !/^(source|target)\//.test(kvHandle)) return true;
    const copy = this.world.copies.get(kvHandle);
    if (copy === undefined || copy.until <= this.world.clock.now()) return false;
    if (!copy.at.has(this.id)) return false;
    this.world.copies.delete(kvHandle);
    return true;
  }
}
