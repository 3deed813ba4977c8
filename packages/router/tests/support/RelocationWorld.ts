import type { Millis, OpaquePrompt, PoolConfig, UpstreamId } from '@camphorvane/core';
import { sleep, VirtualClock } from '@camphorvane/core';
import { EngineKnowledge } from '@camphorvane/decisions';
import { Metrics } from '@camphorvane/router';
import { mayHaveCrashed } from '@camphorvane/upstream';
import { LocalReservations } from '../../src/placing/LocalReservations.ts';
import type { Placer } from '../../src/placing/Placer.ts';
import { RelocationLedger } from '../../src/placing/RelocationLedger.ts';
import type { RequestGuard } from '../../src/serving/RequestGuard.ts';
import { StopOrders } from '../../src/serving/StopOrders.ts';
import { StreamRelocation } from '../../src/serving/StreamRelocation.ts';
import type { CallFault, Copy, EngineWorld, WorldScript } from './WorldEngine.ts';
import { EVENT_COUNT, EVENT_TOKENS, WorldEngine } from './WorldEngine.ts';

const POOL: PoolConfig = {
  ...{ model: 'm', engines: [], maxTokens: 75_000, ttftTargetMs: 300, itlTargetMs: 100 },
  linkPiecesPerSecond: 1_000,
};

/** Two decode engines that move one stream, by the rules of the platform, under a virtual clock. */
export class RelocationWorld implements EngineWorld {
  readonly clock = new VirtualClock();

  readonly copies = new Map<string, Copy>();

  readonly released: string[] = [];

  readonly working = new Set<UpstreamId>();

  mostWorking = 0;

  isCacheLost = false;

  isStoppedLate = false;

  isEndDoubtful = false;

  faults: { readonly copy: CallFault; readonly stop: CallFault } = { copy: 'none', stop: 'none' };

  readonly knowledge = new EngineKnowledge();

  readonly reservations = new LocalReservations(this.knowledge, 'i');

  readonly source: WorldEngine = new WorldEngine('source', this);

  readonly target: WorldEngine = new WorldEngine('target', this);

  readonly stream: StreamRelocation;

  readonly positions: number[] = [];

  /** Longest time between two events, in milliseconds. */
  longestPause = 0;

  /** How the stream ended; undefined while it runs. */
  ending: string | undefined;

  readonly caller = new AbortController();

  readonly reservation: string;

  /** Engines whose crashes were recorded against the request. */
  readonly failures: UpstreamId[] = [];

  /** Engines that have left, and take no requests any more. */
  readonly departed = new Set<UpstreamId>();

  /** Whether the request is quarantined. */
  isBlocked = false;

  /** Further runs that the budget allows. */
  allowedRuns = Infinity;

  /** Runs at engines beyond the first one. */
  furtherRuns = 0;

  private readonly retries = {
    tryRun: (): boolean => this.furtherRuns < this.allowedRuns,
    recordRun: (): void => {
      this.furtherRuns += 1;
    },
  };

  private readonly guard: RequestGuard = {
    recordFailure: (upstream, error) => {
      if (mayHaveCrashed(error)) this.failures.push(upstream);
    },
    isBlocked: () => this.isBlocked,
  };

  constructor(readonly script: WorldScript) {
    const pair = { prefill: undefined, decode: 'source', expectedPrefillMs: 0 };
    const work = { model: 'm', team: 't', pair, promptTokens: 5_000, memoryTokens: 8_000 };
    const identity = { request: 'r1', priority: 3, longestPauseMs: 300, binding: undefined };
    this.reservation = this.reservations.reserve({ ...work, ...identity }, 0);
    const ledger = new RelocationLedger(this.knowledge, this.reservations, () => undefined);
    const placements = { attemptFailed: () => undefined } as unknown as Placer;
    const stops = new StopOrders();
    const departures = { mayGoOnAt: (engine: UpstreamId) => !this.departed.has(engine) };
    const metrics = new Metrics();
    const deps = { clock: this.clock, metrics, placements, ledger, stops, departures };
    const backup =
      script.hasBackup === true ? { entry: this.target.entry, memoryTokens: 8_000 } : undefined;
    if (backup !== undefined) ledger.adjustCopy('target', backup.memoryTokens);
    const call = { method: 'POST', path: '/x', headers: {}, body: Buffer.from(''), team: 't' };
    const prompt: OpaquePrompt = { tokens: 5_000, parts: [], call: { ...call, deadlineAt: 1e6 } };
    this.stream = new StreamRelocation(
      {
        ...{ id: 'r1', reservation: this.reservation, pool: POOL, engine: this.source.entry },
        command: {
          ...{ attempt: 'a', prompt, kvHandle: undefined, fromPosition: 0, priority: 3 },
          maxTokens: (EVENT_COUNT + (script.unusedEvents ?? 0)) * EVENT_TOKENS,
        },
        ...{ expectedTokens: undefined, longestPauseMs: 300, isResumable: false },
        guard: this.guard,
        retries: this.retries,
        signal: this.caller.signal,
      },
      backup,
      { ...deps, onClosed: () => undefined },
    );
    const { death } = script;
    if (death !== undefined) this.clock.after(death.at, () => this[death.engine].die());
    void this.consume();
  }

  /** {@inheritDoc EngineWorld.getOther} */
  getOther(engine: 'source' | 'target'): WorldEngine {
    return engine === 'source' ? this.target : this.source;
  }

  /** Starts all moves of the script, beginning at a time; each goes to the engine that does not run the stream. */
  async startMoves(at: Millis): Promise<void> {
    const { copy = 'none', stop = 'none', laterMoves = [] } = this.script;
    const moves = [{ afterMs: at, copy, stop }, ...laterMoves];
    await moves.reduce(async (before, { afterMs, ...faults }) => {
      await before;
      await this.clock.advance(afterMs);
      this.faults = { copy: 'none', ...faults };
      const isAtSource = this.stream.getEngine() === this.source.entry;
      this.stream.moveTo(isAtSource ? this.target.entry : this.source.entry, 'memory');
    }, Promise.resolve());
  }

  /** Gets the engine that the reservation of the stream is at. */
  getReservedEngine(): UpstreamId | undefined {
    return this.reservations.get(this.reservation)?.pair.decode;
  }

  /** Counts copies that hold memory at the target. */
  countCopies(): number {
    return [...this.copies.values()].filter(
      ({ until, at }) => at.has('target') && until > this.clock.now(),
    ).length;
  }

  private async consume(): Promise<void> {
    let lastAt: Millis | undefined;
    for await (const event of this.stream.events()) {
      const now = this.clock.now();
      this.longestPause = Math.max(this.longestPause, now - (lastAt ?? now));
      lastAt = now;
      await sleep(this.clock, this.script.readMs ?? 0);
      if (event.isErr()) this.ending = event.error.type;
      else if (event.value.type === 'piece') this.positions.push(event.value.position);
      else if (event.value.type === 'done') this.ending = 'done';
    }
    this.ending ??= 'none';
  }
}
