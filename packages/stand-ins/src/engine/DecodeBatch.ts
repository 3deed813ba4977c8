import { ok, err } from 'neverthrow';
import type { AttemptId, Clock, Millis } from '@camphorvane/core';
import type { DecodeCommand, DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import { answerLength, answerToken, CHARS_PER_TOKEN } from './answer.ts';
import type { EventQueue } from './EventQueue.ts';
import type { KvEntry } from './KvStore.ts';

/** Events of one decode stream. */
export type DecodeQueue = EventQueue<Result<DecodeEvent, UpstreamError>>;

/** What a batch asks of its engine. */
export interface DecodeBatchOwner {
  /** Gets the time that one step with so many streams takes. */
  stepMs(streams: number): Millis;
  /** Tells whether the engine produces nothing for now. */
  isStopped(): boolean;
  /** Takes note that a stream has given its whole answer. */
  finished(stream: DecodeStream): void;
}

/** One running stream. */
export interface DecodeStream {
  readonly cmd: DecodeCommand;
  readonly entry: KvEntry;
  readonly queue: DecodeQueue;
}

interface Progress {
  /** Position that the caller is told. */
  readonly label: number;
  /** Position that the engine's state is at; differs after a wrong resume, and the text shows it. */
  readonly position: number;
}

/** Decodes all running streams together, one token each a step. */
export class DecodeBatch {
  private readonly streams = new Map<DecodeStream, Progress>();

  private stepping = false;

  constructor(
    private readonly clock: Clock,
    private readonly owner: DecodeBatchOwner,
  ) {}

  /** Gets how many streams run. */
  size(): number {
    return this.streams.size;
  }

  /** Starts a stream; its first token comes with the next step. */
  add(stream: DecodeStream): void {
    const resumed = stream.entry.cache.continuation.length / CHARS_PER_TOKEN;
    this.streams.set(stream, {
      label: stream.cmd.fromPosition,
      position: resumed > 0 ? resumed : stream.cmd.fromPosition,
    });
    this.schedule();
  }

  /** Stops a stream without a word to its consumer. */
  remove(stream: DecodeStream): void {
    this.streams.delete(stream);
    stream.queue.end();
  }

  /** Gets the streams of an attempt. */
  find(attempt: AttemptId): readonly DecodeStream[] {
    return [...this.streams.keys()].filter((stream) => stream.cmd.attempt === attempt);
  }

  /** Breaks all streams, as a crash does. */
  breakAll(message: string): void {
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
      if (!this.owner.isStopped()) {
        [...this.streams.entries()].forEach(([stream, at]) => this.advance(stream, at));
      }
      this.schedule();
    });
  }

  private advance(stream: DecodeStream, at: Progress): void {
    const { attempt, maxTokens } = stream.cmd;
    const { prompt } = stream.entry.cache;
    const length = answerLength(prompt, maxTokens);
    if (at.position < length) {
      const text = answerToken(prompt, at.position);
      stream.queue.push(ok({ type: 'token', attempt, position: at.label, text }));
    }
    const next = { label: at.label + 1, position: at.position + 1 };
    this.streams.set(stream, next);
    if (next.position < length) return;
    const reason = length === maxTokens ? 'length' : 'stop';
    stream.queue.push(ok({ type: 'done', attempt, reason, outputTokens: length }));
    this.remove(stream);
    this.owner.finished(stream);
  }
}
