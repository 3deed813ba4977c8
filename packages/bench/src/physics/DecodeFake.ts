import type { Millis, Pieces, UpstreamId } from '@camphorvane/core';
import type { Attempt } from './Attempt.ts';
import type { Timeline } from './Timeline.ts';

/** What a decode engine tells of itself. */
export interface DecodeFakeEvents {
  firstToken(attempt: Attempt): void;
  whole(attempt: Attempt): void;
}

/** What was seen of an engine's steps since the last look. */
export interface IntervalSample {
  readonly meanMs: Millis;
  readonly streams: number;
}

/** Shape of a decode engine: each step gives every stream one token. */
export interface DecodeFakeConfig {
  readonly memoryPieces: Pieces;
  readonly baseMs: Millis;
  readonly perStreamMs: Millis;
  readonly maxStreams: number;
  readonly transferMsPerPiece: Millis;
}

/** A decode engine: memory in pieces, one link to import over, and a batch of streams. */
export class DecodeFake {
  private arriving: Attempt[] = [];

  private streams: Attempt[] = [];

  private transferring: Attempt | undefined;

  private stepping = false;

  private used: Pieces = 0;

  private factor = 1;

  private seen = { ms: 0, streams: 0, steps: 0 };

  constructor(
    readonly id: UpstreamId,
    readonly cfg: DecodeFakeConfig,
    private readonly timeline: Timeline,
    private readonly events: DecodeFakeEvents,
  ) {}

  /** Gets the pieces in use. */
  get usedPieces(): Pieces {
    return this.used;
  }

  /** Gets the streams in the batch. */
  get running(): number {
    return this.streams.length;
  }

  /** Gets the imports that wait for the link or for memory. */
  get waiting(): number {
    return this.arriving.length;
  }

  /**
   * Gets the true number of streams that meet a target.
   *
   * @param itlTargetMs - The target.
   * @param least - Smallest factor of slowness to assume; the present one counts if it is larger.
   */
  getUsefulStreams(itlTargetMs: Millis, least = 0): number {
    const room = itlTargetMs / Math.max(this.factor, least) - this.cfg.baseMs;
    return Math.min(this.cfg.maxStreams, Math.floor(room / this.cfg.perStreamMs));
  }

  /** Gets the true time of a step with a number of streams. */
  getStepMs(streams: number): Millis {
    return (this.cfg.baseMs + this.cfg.perStreamMs * streams) * this.factor;
  }

  /** Sets how many times slower than usual the engine runs. */
  setFactor(factor: number): void {
    this.factor = factor;
  }

  /** Takes an attempt whose prefill is over into the line for the link. */
  add(attempt: Attempt): void {
    this.arriving.push(attempt);
    this.startTransfer();
  }

  /** Takes an attempt out at any point, and frees its memory. */
  remove(attempt: Attempt): void {
    if (this.arriving.includes(attempt)) {
      this.arriving = this.arriving.filter((other) => other !== attempt);
    } else if (this.streams.includes(attempt)) {
      this.streams = this.streams.filter((other) => other !== attempt);
      this.used -= attempt.pieces;
    } else if (this.transferring === attempt) {
      this.transferring = undefined;
      this.used -= attempt.pieces;
    }
    this.startTransfer();
  }

  /** Loses everything, as a process that dies. */
  clear(): readonly Attempt[] {
    const moving = this.transferring === undefined ? [] : [this.transferring];
    const lost = [...this.arriving, ...moving, ...this.streams];
    this.arriving = [];
    this.streams = [];
    this.transferring = undefined;
    this.used = 0;
    return lost;
  }

  /** Gets the mean step since the last call, if there was any. */
  takeSample(): IntervalSample | undefined {
    const { ms, streams, steps } = this.seen;
    this.seen = { ms: 0, streams: 0, steps: 0 };
    return steps === 0 ? undefined : { meanMs: ms / steps, streams: streams / steps };
  }

  private startTransfer(): void {
    if (this.transferring !== undefined || this.streams.length >= this.cfg.maxStreams) return;
    const free = this.cfg.memoryPieces - this.used;
    const next = this.arriving
      .filter((attempt) => attempt.pieces <= free)
      .reduce<Attempt | undefined>(
        (best, attempt) =>
          best === undefined || attempt.priority < best.priority ? attempt : best,
        undefined,
      );
    if (next === undefined) return;
    this.arriving = this.arriving.filter((other) => other !== next);
    this.transferring = next;
    this.used += next.pieces;
    next.state = 'transferring';
    const pieces = Math.max(1, Math.ceil(next.request.promptTokens / 1024));
    this.timeline.after(pieces * this.cfg.transferMsPerPiece, () => this.endTransfer(next));
  }

  private endTransfer(attempt: Attempt): void {
    const moved = attempt;
    if (this.transferring !== moved) return;
    this.transferring = undefined;
    moved.state = 'decoding';
    this.streams.push(moved);
    this.startTransfer();
    if (!this.stepping) this.step();
  }

  private step(): void {
    const batch = this.streams;
    this.stepping = batch.length > 0;
    if (!this.stepping) return;
    const ms = this.getStepMs(batch.length);
    this.seen = {
      ms: this.seen.ms + ms,
      streams: this.seen.streams + batch.length,
      steps: this.seen.steps + 1,
    };
    const running = [...batch];
    this.timeline.after(ms, () => this.endStep(running));
  }

  private endStep(batch: readonly Attempt[]): void {
    const { now } = this.timeline;
    const alive = batch.filter((attempt) => attempt.state === 'decoding');
    alive.forEach((attempt) => {
      const stream = attempt;
      stream.producedTokens += 1;
      stream.lastTokenAt = now;
      if (stream.firstTokenAt !== undefined) return;
      stream.firstTokenAt = now;
      this.events.firstToken(stream);
    });
    const over = alive.filter((attempt) => attempt.producedTokens >= attempt.request.outputTokens);
    over.forEach((attempt) => {
      this.remove(attempt);
      this.events.whole(attempt);
    });
    this.step();
  }
}
