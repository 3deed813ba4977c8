import { RandomSource, VirtualClock, type Millis } from '@camphorvane/core';
import { applyConfig } from '@camphorvane/operator';
import { BudgetedStore, CallBudget, ConfigFollower } from '@camphorvane/store';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import { LockstepRandom } from './LockstepRandom.ts';
import { fleetConfig } from './fleetConfig.ts';

/** What to run. */
export interface OutageSettings {
  readonly hosts: number;
  readonly teams: number;
  readonly seed: number;
  readonly outageMs: Millis;
  /** False makes all hosts wait equally long, to show what the spread is for. */
  readonly isSpread: boolean;
}

/** What the platform and the hosts saw after the outage. */
export interface OutageReport {
  readonly hosts: number;
  readonly isSpread: boolean;
  /** Calls in each of the first ten seconds after the return. */
  readonly callsPerSecond: readonly number[];
  /** Most calls in a tenth of a second. */
  readonly peakPer100Ms: number;
  /** Until every host had its version confirmed, from the return. */
  readonly confirmedMs: Millis;
  /** Until a change that is applied one second after the return was in force at every host. */
  readonly inForceMs: Millis;
}

const STEP_MS = 100;

const WATCHED_MS = 10_000;

const CHANGE_AT_MS = 1000;

type Samples = Omit<OutageReport, 'hosts' | 'isSpread'>;

class Fleet {
  private readonly clock = new VirtualClock();

  private readonly store = new MemoryObjectStore(this.clock);

  private readonly settings: OutageSettings;

  private readonly followers: readonly ConfigFollower[];

  private applied = 0;

  constructor(settings: OutageSettings) {
    this.settings = settings;
    const rates = CallBudget.ratesFor(settings.hosts);
    this.followers = Array.from({ length: settings.hosts }, (_, i) => {
      const budget = new CallBudget(this.clock, rates);
      const store = new BudgetedStore(this.store, budget, 'config');
      const seed = settings.seed * 100_000 + i;
      const random = settings.isSpread ? new RandomSource(seed) : new LockstepRandom();
      return new ConfigFollower({ store, clock: this.clock, random });
    });
  }

  async start(): Promise<void> {
    await this.change(undefined, 'first');
    // Hosts start one after another, over three seconds.
    const gap = 3000 / this.followers.length;
    await this.followers.reduce(async (before, follower) => {
      await before;
      follower.start();
      await this.clock.advance(gap);
    }, Promise.resolve());
    await this.clock.advance(60_000);
  }

  async outage(span: Millis): Promise<Millis> {
    this.store.setFaults({ down: true });
    await this.clock.advance(span);
    this.store.setFaults({ down: false });
    return this.clock.now();
  }

  async watchReturn(returned: Millis): Promise<Samples> {
    const calls: number[] = [];
    let confirmedMs = Infinity;
    let inForceMs = Infinity;
    let change: Promise<void> | undefined;
    while (this.clock.now() < returned + WATCHED_MS) {
      const before = this.calls();
      await this.clock.advance(STEP_MS);
      calls.push(this.calls() - before);
      const passed = this.clock.now() - returned;
      if (passed >= CHANGE_AT_MS) change ??= this.change(0, 'second');
      if (this.all((host) => (host.confirmedAt() ?? 0) >= returned)) {
        confirmedMs = Math.min(confirmedMs, passed);
      }
      if (this.isInForce()) inForceMs = Math.min(inForceMs, passed - CHANGE_AT_MS);
    }
    await change;
    return { ...summary(calls), confirmedMs, inForceMs };
  }

  async stop(): Promise<void> {
    const stopped = Promise.all(this.followers.map((follower) => follower.stop()));
    await this.clock.advance(10_000);
    await stopped;
  }

  private calls(): number {
    return this.store.calls.reads + this.store.calls.writes;
  }

  private all(test: (host: ConfigFollower) => boolean): boolean {
    return this.followers.every(test);
  }

  private isInForce(): boolean {
    return this.applied > 1 && this.all((host) => isChanged(host));
  }

  private async change(changed: number | undefined, changeId: string): Promise<void> {
    const context = { store: this.store, clock: this.clock, random: new RandomSource(1) };
    const base = { type: 'config', config: fleetConfig(this.settings.teams) } as const;
    const config = fleetConfig(this.settings.teams, changed);
    const options = { changeId, base: changed === undefined ? { type: 'none' as const } : base };
    const pending = applyConfig(context, config, options).then((result) => {
      if (result.isErr()) throw new Error(`the change was not accepted: ${result.error.type}`);
      this.applied += 1;
    });
    if (changed === undefined) await this.clock.advance(10_000);
    await pending;
  }
}

function isChanged(host: ConfigFollower): boolean {
  return host.current()?.config.teams.some((team) => team.weight === 2) ?? false;
}

function summary(calls: readonly number[]): Pick<Samples, 'callsPerSecond' | 'peakPer100Ms'> {
  const perSecond = 1000 / STEP_MS;
  const seconds = Array.from({ length: calls.length / perSecond }, (_, i) =>
    calls.slice(i * perSecond, (i + 1) * perSecond).reduce((sum, count) => sum + count, 0),
  );
  return { callsPerSecond: seconds, peakPer100Ms: Math.max(...calls) };
}

/**
 * Takes the platform away from many hosts, gives it back, and counts their calls.
 *
 * @param settings - What to run.
 * @returns What was seen; the same for the same settings.
 */
export async function runAfterOutage(settings: OutageSettings): Promise<OutageReport> {
  const fleet = new Fleet(settings);
  await fleet.start();
  const returned = await fleet.outage(settings.outageMs);
  const samples = await fleet.watchReturn(returned);
  await fleet.stop();
  return { hosts: settings.hosts, isSpread: settings.isSpread, ...samples };
}
