import { ok, err } from 'neverthrow';
import type { AttemptId, Clock, Millis } from '@camphorvane/core';
import type { DecodeCommand, DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import { answerLength, answerToken, CHARS_PER_TOKEN } from './answer.ts';
import type { EventQueue } from './EventQueue.ts';
import type { KvEntry } from './KvStore.ts';

/** Event queue of one decode stream. */
export type DecodeQueue = EventQueue<Result<DecodeEvent, UpstreamError>>;

/** Callbacks of a batch to its engine. */
export interface DecodeBatchCallbacks {
  /** Gets the duration of a step with the given number of streams. */
  stepMs(streams: number): Millis;
  /** Tells whether the engine is stalled: steps pass but produce no tokens. */
  isStalled(): boolean;
  /** Called after a stream has emitted its complete answer. */
  onFinished(stream: DecodeStream): void;
}

/** A decode stream in the batch. */
export interface DecodeStream {
  readonly cmd: DecodeCommand;
  readonly entry: KvEntry;
  readonly queue: DecodeQueue;
}

interface Progress {
  /** Token position in the emitted events. */
  readonly reportedPosition: number;
  /** Token position of the KV cache, which decides the text; differs after a wrong resume. */
  readonly statePosition: number;
}

/** Decodes all streams in steps; each step emits one token for each stream. */
export class DecodeBatch {
  private readonly streams = new Map<DecodeStream, Progress>();

  private stepping = false;

  constructor(
    private readonly clock: Clock,
    private readonly owner: DecodeBatchCallbacks,
  ) {}

  /** Gets the number of streams. */
  size(): number {
    return this.streams.size;
  }

  /** Adds a stream; its first token is emitted by the next step. */
  add(stream: DecodeStream): void {
    const resumed = stream.entry.cache.continuation.length / CHARS_PER_TOKEN;
    this.streams.set(stream, {
      reportedPosition: stream.cmd.fromPosition,
      statePosition: resumed > 0 ? resumed : stream.cmd.fromPosition,
    });
    this.schedule();
  }

  /** Removes a stream and ends its queue without an error event. */
  remove(stream: DecodeStream): void {
    this.streams.delete(stream);
    stream.queue.end();
  }

  /** Gets the streams of an attempt. */
  streamsOf(attempt: AttemptId): readonly DecodeStream[] {
    return [...this.streams.keys()].filter((stream) => stream.cmd.attempt === attempt);
  }

  /** Ends all streams with an error, as a crash does. */
  failAll(message: string): void {
    [...this.streams.keys()].forEach((stream) => {
      stream.queue.push(err({ type: 'broken', dispatched: true, message }));
      this.remove(stream);
    });
  }

  private schedule(): void {
    if (this.stepping || this.streams.size === 0) return;
    this.stepping = true;
    this.clock.after(this.owner.stepMs(this.streams.size), () => {
      this.stepping = false;
      if (!this.owner.isStalled()) {
        [...this.streams.entries()].forEach(([stream, progress]) => this.advance(stream, progress));
      }
      this.schedule();
    });
  }

  private advance(stream: DecodeStream, progress: Progress): void {
    const { attempt, maxTokens } = stream.cmd;
    const { prompt } = stream.entry.cache;
    const length = answerLength(prompt, maxTokens);
    if (progress.statePosition < length) {
      const text = answerToken(prompt, progress.statePosition);
      stream.queue.push(ok({ type: 'token', attempt, position: progress.reportedPosition, text }));
    }
    const next = {
      reportedPosition: progress.reportedPosition + 1,
      statePosition: progress.statePosition + 1,
    };
    this.streams.set(stream, next);
    if (next.statePosition < length) return;
    const reason = length === maxTokens ? 'length' : 'stop';
    stream.queue.push(
      ok({ type: 'done', attempt, reason, outputTokens: length, ending: 'marked' }),
    );
    this.remove(stream);
    this.owner.onFinished(stream);
  }
}
