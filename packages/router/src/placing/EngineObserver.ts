import type { Clock, Millis, ModelId, UpstreamId } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import type { EngineObservation } from '@camphorvane/decisions';
import type { Placer } from './Placer.ts';

/** Milliseconds between two batches of observations. */
const FLUSH_PERIOD_MS: Millis = 500;

/**
 * Observations kept for one pool while its coordinator does not answer; the oldest are dropped, as they
 * are out of date by then.
 */
const MAX_PENDING = 256;

interface IntervalSum {
  totalMs: number;
  count: number;
  readonly streams: Set<string>;
}

/** Collects this host's observations of engines and passes them to the placer in batches. */
export class EngineObserver {
  private readonly clock: Clock;

  private readonly placer: Placer;

  private readonly intervals = new Map<ModelId, Map<UpstreamId, IntervalSum>>();

  private readonly pending = new Map<ModelId, EngineObservation[]>();

  /**
   * @param clock - Times the batches.
   * @param placer - Receives the batches.
   */
  constructor(clock: Clock, placer: Placer) {
    this.clock = clock;
    this.placer = placer;
  }

  /** Adds the time between two tokens of one stream to the mean of the next batch. */
  recordTokenInterval(model: ModelId, engine: UpstreamId, stream: string, ms: Millis): void {
    const engines = this.intervals.get(model) ?? new Map<UpstreamId, IntervalSum>();
    const sum = engines.get(engine) ?? { totalMs: 0, count: 0, streams: new Set<string>() };
    sum.totalMs += ms;
    sum.count += 1;
    sum.streams.add(stream);
    engines.set(engine, sum);
    this.intervals.set(model, engines);
  }

  /** Adds an observation to the next batch. */
  record(model: ModelId, observation: EngineObservation): void {
    const list = this.pending.get(model) ?? [];
    this.pending.set(model, [...list.slice(1 - MAX_PENDING), observation]);
  }

  /** Sends batches until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'observations', clock: this.clock, signal }, async () => {
      await sleep(this.clock, FLUSH_PERIOD_MS, signal);
      const models = new Set([...this.intervals.keys(), ...this.pending.keys()]);
      await Promise.all([...models].map((model) => this.flush(model)));
    });
  }

  private async flush(model: ModelId): Promise<void> {
    const means = [...(this.intervals.get(model) ?? [])].map(
      ([engine, sum]): EngineObservation => ({
        type: 'token_interval',
        engine,
        meanMs: sum.totalMs / sum.count,
        streams: sum.streams.size,
      }),
    );
    const observations = [...means, ...(this.pending.get(model) ?? [])];
    this.intervals.delete(model);
    this.pending.delete(model);
    if (observations.length === 0) return;
    await this.placer.observe(model, observations);
  }
}
