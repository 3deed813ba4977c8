import type { CancelTimer, Clock, Millis, UpstreamId } from '@camphorvane/core';
import type { EngineHealth, SlowStart } from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { stateLog } from '../observe/StateLog.ts';

/** Milliseconds after a probe without an answer before the next one; each further one waits longer. */
const FIRST_RETRY_MS: Millis = 300;

/**
 * Longest time between two probes, in milliseconds. An engine that starts again is mostly listed under
 * another name, so that the old name never answers; the few that keep theirs are back after seconds.
 */
const LONGEST_RETRY_MS: Millis = 1_500;

/** Milliseconds for which a probe that was answered stands against what a peer says. */
const ANSWER_LIFE_MS: Millis = 2_000;

/** Part of the engines above which a host takes itself for cut off, and not the engines for down. */
const LIKELY_DOWN_PART = 0.5;

const log = stateLog('engines');

/** What probes are made with. */
export interface EngineProbesOptions {
  readonly clock: Clock;
  readonly directory: Pick<UpstreamDirectory, 'getEngine' | 'getEngineIds'>;
  readonly health: EngineHealth;
  readonly slowStart: SlowStart;
  /** Called after each change of what is known to be down. */
  readonly onChange: () => void;
}

/**
 * Finds out whether an engine is up, by a question that costs it nothing.
 *
 * An engine that crashes is still listed for some seconds. Tried with requests, each host loses several
 * to it, and with each of them a prompt that was read for nothing. One failure, here or at a peer, is enough to take it out of use until it answers again. A
 * peer's hint alone does not: a host that is cut off would take all engines from the others.
 */
export class EngineProbes {
  private readonly options: EngineProbesOptions;

  /** Engines that are being asked. */
  private readonly asking = new Set<UpstreamId>();

  /** Engines that gave no answer. */
  private readonly down = new Set<UpstreamId>();

  /** Next questions to engines that gave no answer. */
  private readonly timers = new Map<UpstreamId, CancelTimer>();

  private hasStopped = false;

  private readonly answeredAt = new Map<UpstreamId, Millis>();

  /** @param options - What they are made with. */
  constructor(options: EngineProbesOptions) {
    this.options = options;
  }

  /** Takes an engine out of use until it answers a probe, because a request failed on it. */
  suspect(engine: UpstreamId): void {
    if (this.hasStopped || this.asking.has(engine)) return;
    this.asking.add(engine);
    this.options.health.suspect(engine);
    void this.ask(engine, FIRST_RETRY_MS);
  }

  /** Takes in which engines a peer finds down. */
  receive(engines: readonly UpstreamId[]): void {
    const now = this.options.clock.now();
    engines
      .filter((engine) => now - (this.answeredAt.get(engine) ?? -Infinity) > ANSWER_LIFE_MS)
      .forEach((engine) => this.suspect(engine));
  }

  /**
   * Gets the engines that gave no answer to this host, to be told to its peers. A host that finds most
   * of them down is more likely cut off itself, and says nothing.
   */
  getDown(): readonly UpstreamId[] {
    const listed = this.options.directory.getEngineIds().length;
    return this.down.size > listed * LIKELY_DOWN_PART ? [] : [...this.down];
  }

  /** Asks no engine any more. */
  stop(): void {
    this.hasStopped = true;
    this.timers.forEach((cancel) => cancel());
  }

  private async ask(id: UpstreamId, retryMs: Millis): Promise<void> {
    const { clock, directory } = this.options;
    const engine = directory.getEngine(id)?.engine;
    const report = await engine?.load();
    if (report?.isErr() !== true) {
      this.end(id, report === undefined ? 'not_listed' : 'answered');
      return;
    }
    this.noteDown(id, report.error.message);
    if (this.hasStopped) return;
    const nextMs = Math.min(LONGEST_RETRY_MS, retryMs * 2);
    this.timers.set(
      id,
      clock.after(retryMs, () => {
        void this.ask(id, nextMs);
      }),
    );
  }

  private noteDown(id: UpstreamId, reason: string): void {
    if (this.down.has(id)) return;
    this.down.add(id);
    this.options.slowStart.unreachable(id);
    log('engine_down', { engine: id, reason });
    this.options.onChange();
  }

  private end(id: UpstreamId, reason: 'answered' | 'not_listed'): void {
    this.asking.delete(id);
    this.timers.delete(id);
    this.answeredAt.set(id, this.options.clock.now());
    this.options.health.trust(id);
    if (reason === 'not_listed') this.answeredAt.delete(id);
    else this.options.slowStart.answered(id, this.options.clock.now());
    if (this.down.delete(id)) log('engine_up', { engine: id, reason });
    this.options.onChange();
  }
}
