import type { CancelTimer, Clock, Millis, UpstreamId } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import type { EngineHealth, SlowStart, UpstreamSpeeds } from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';

/** Milliseconds between a failed probe and the first retry; doubles with each further failure. */
const INITIAL_RETRY_MS: Millis = 300;

/**
 * Maximum back-off between two probes, in milliseconds. Most engines are listed under a new name after a
 * restart, and the old name never answers again; the few that keep their name are back within seconds.
 */
const MAX_RETRY_MS: Millis = 1_500;

/** Milliseconds for which a successful probe overrides a peer's report that the engine is down. */
const PROBE_RESULT_TTL_MS: Millis = 2_000;

/** Fraction of the engines found down above which this host assumes that it is partitioned itself. */
const MAX_DOWN_FRACTION = 0.5;

const log = eventLog('engines');

/** Dependencies of {@link EngineProbes}. */
export interface EngineProbesOptions {
  readonly clock: Clock;
  readonly directory: Pick<UpstreamDirectory, 'getEngine' | 'getEngineIds'>;
  readonly health: EngineHealth;
  readonly slowStart: SlowStart;
  /** Learned speeds, from which engines that are down are dropped; absent where none are learned. */
  readonly speeds?: UpstreamSpeeds;
  /** Called after each change of the engines known to be down. */
  readonly onChange: () => void;
}

/**
 * Probes suspected engines by reading their load report, which costs an engine nothing.
 *
 * A crashed engine stays listed for some seconds. If requests were the probes, each host would lose
 * several of them, each with a wasted prefill. So a single failure, here or reported by a peer, takes an
 * engine out of use, but only until it answers this host's probe: by its reports alone, a partitioned host
 * would take all engines away from the others.
 */
export class EngineProbes {
  private readonly options: EngineProbesOptions;

  /** Engines that are being probed. */
  private readonly probing = new Set<UpstreamId>();

  /** Engines whose last probe failed. */
  private readonly down = new Set<UpstreamId>();

  /** Timers of the next probes of engines that are down. */
  private readonly retryTimers = new Map<UpstreamId, CancelTimer>();

  private isStopped = false;

  private readonly answeredAt = new Map<UpstreamId, Millis>();

  /** @param options - Dependencies. */
  constructor(options: EngineProbesOptions) {
    this.options = options;
  }

  /** Takes an engine on which a request failed out of use until it answers a probe. */
  suspect(engine: UpstreamId): void {
    if (this.isStopped || this.probing.has(engine)) return;
    this.probing.add(engine);
    this.options.health.suspect(engine);
    runInBackground('engines.probe', () => this.probe(engine, INITIAL_RETRY_MS));
  }

  /** Probes the engines that a peer reports as down, except those that answered a moment ago. */
  receive(engines: readonly UpstreamId[]): void {
    const now = this.options.clock.now();
    engines
      .filter((engine) => now - (this.answeredAt.get(engine) ?? -Infinity) > PROBE_RESULT_TTL_MS)
      .forEach((engine) => this.suspect(engine));
  }

  /**
   * Gets the engines to report to peers as down. None are reported where most are down: this host is then
   * more likely partitioned itself.
   */
  getDownEngines(): readonly UpstreamId[] {
    const listed = this.options.directory.getEngineIds().length;
    return this.down.size > listed * MAX_DOWN_FRACTION ? [] : [...this.down];
  }

  /** Probes the engines that are down now, since this host has got its links back. */
  retryNow(): void {
    [...this.retryTimers].forEach(([engine, cancel]) => {
      cancel();
      this.retryTimers.delete(engine);
      runInBackground('engines.probe', () => this.probe(engine, INITIAL_RETRY_MS));
    });
  }

  /** Stops probing. */
  stop(): void {
    this.isStopped = true;
    this.retryTimers.forEach((cancel) => cancel());
  }

  private async probe(id: UpstreamId, retryMs: Millis): Promise<void> {
    const { clock, directory } = this.options;
    const engine = directory.getEngine(id)?.engine;
    const report = await engine?.load();
    if (report?.isErr() !== true) {
      this.finish(id, report === undefined ? 'not_listed' : 'answered');
      return;
    }
    if (report.error.type !== 'withheld') this.markDown(id, report.error.message);
    if (this.isStopped) return;
    const nextMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    this.retryTimers.set(
      id,
      clock.after(retryMs, () => {
        this.retryTimers.delete(id);
        runInBackground('engines.probe', () => this.probe(id, nextMs));
      }),
    );
  }

  private markDown(id: UpstreamId, reason: string): void {
    if (this.down.has(id)) return;
    this.down.add(id);
    this.options.slowStart.recordUnreachable(id);
    this.options.speeds?.forgetEngine(id, this.options.clock.now());
    log('engine_down', { engine: id, reason });
    this.options.onChange();
  }

  private finish(id: UpstreamId, reason: 'answered' | 'not_listed'): void {
    this.probing.delete(id);
    this.retryTimers.delete(id);
    this.answeredAt.set(id, this.options.clock.now());
    this.options.health.trust(id);
    if (reason === 'not_listed') this.answeredAt.delete(id);
    else this.options.slowStart.recordAnswer(id, this.options.clock.now());
    if (this.down.delete(id)) log('engine_up', { engine: id, reason });
    this.options.onChange();
  }
}
