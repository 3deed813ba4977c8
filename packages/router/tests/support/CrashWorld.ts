import type { Millis } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import type { GuardedRequest } from '../../src/serving/CrashGuard.ts';
import type { StoreFleet, StoreHost } from './StoreFleet.ts';

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'other side closed' };

/** Milliseconds from the start of a run to its crash, and to its complete answer, unless options name other times. */
const CRASH_MS: Millis = 60;
const ANSWER_MS: Millis = 400;

/** Most engines that one request is sent to. */
const MAX_ATTEMPTS = 3;

/** A request of one caller; those with a part that crashes engines are not sound. */
export interface WorldRequest extends GuardedRequest {
  readonly shared: readonly string[];
}

/** One request as its caller and the engines saw it. */
export interface WorldOutcome {
  readonly request: WorldRequest;
  readonly at: Millis;
  /** Whether it reached an engine. */
  readonly wasSent: boolean;
}

/** A request on its way to an engine. */
export interface WorldSend {
  readonly id: string;
  /** Name of the host that sent it. */
  readonly host: string;
  readonly at: Millis;
}

interface Run {
  readonly host: StoreHost;
  readonly request: WorldRequest;
  readonly attempt: number;
}

interface Engine {
  process: number;
  isUp: boolean;
  runs: Set<Run>;
}

/** Engines that crash by requests with certain traits, in front of hosts that guard them. */
export class CrashWorld {
  readonly outcomes: WorldOutcome[] = [];

  /** Times of the crashes by each trait. */
  readonly crashes = new Map<string, Millis[]>();

  /** Times at which requests with each trait were sent to an engine. */
  readonly sends = new Map<string, readonly WorldSend[]>();

  private readonly engines: readonly Engine[];

  private readonly random = new RandomSource(1);

  /**
   * @param fleet - The hosts.
   * @param culprits - Traits that crash each engine that runs a request with them.
   * @param options - Number of engines, and the milliseconds until the next process starts after a crash, until an answer is complete and until an engine crashes.
   */
  constructor(
    private readonly fleet: StoreFleet,
    private readonly culprits: readonly string[],
    private readonly options: {
      readonly engines: number;
      readonly restartMs: Millis;
      readonly answerMs?: Millis;
      readonly crashMs?: Millis;
    },
  ) {
    this.engines = Array.from({ length: options.engines }, () => ({
      ...{ process: 0, isUp: true, runs: new Set<Run>() },
    }));
  }

  /** Sends a request to a host. */
  send(host: StoreHost, request: WorldRequest): void {
    const at = this.fleet.clock.now();
    const guard = host.coordination.crashGuard;
    guard.recordArrival(request);
    const isAdmitted = guard.refusalFor(request) === undefined;
    this.outcomes.push({ request, at, wasSent: isAdmitted });
    if (isAdmitted) this.run({ host, request, attempt: 1 });
  }

  /**
   * Counts the requests with a trait that were sent later than a time after the fifth crash by it.
   *
   * @param trait - The trait.
   * @param afterMs - Milliseconds after the fifth crash.
   * @param isCounted - Tells which requests count; by default all.
   * @returns Their number.
   */
  countLate(
    trait: string,
    afterMs: Millis,
    isCounted = (_send: WorldSend): boolean => true,
  ): number {
    const fifth = this.crashes.get(trait)?.[4] ?? Infinity;
    const late = (this.sends.get(trait) ?? [])
      .filter(({ at }) => at > fifth + afterMs)
      .filter(isCounted);
    return new Set(late.map(({ id }) => id)).size;
  }

  /** Gets the share of the sound requests of a period that were admitted at once. */
  soundShare(from: Millis, to: Millis): number {
    const sound = this.outcomes.filter(
      ({ request, at }) => at >= from && at < to && this.culpritsOf(request).length === 0,
    );
    return sound.filter(({ wasSent }) => wasSent).length / sound.length;
  }

  private run(run: Run): void {
    const up = this.engines.filter(({ isUp }) => isUp);
    const engine = up[this.random.int(0, up.length - 1)];
    if (engine === undefined) {
      run.host.coordination.crashGuard.recordEnd(run.request);
      return;
    }
    const { host, request } = run;
    const { clock } = this.fleet;
    const { process } = engine;
    const { crashGuard } = host.coordination;
    const culprits = this.culpritsOf(request);
    engine.runs.add(run);
    culprits.forEach((trait) => {
      const sends = this.sends.get(trait) ?? [];
      this.sends.set(trait, [...sends, { id: request.id, host: host.name, at: clock.now() }]);
    });
    const isRunning = (): boolean => engine.process === process && engine.runs.has(run);
    const { answerMs = ANSWER_MS, crashMs = CRASH_MS } = this.options;
    clock.after(culprits.length > 0 ? crashMs : answerMs, () => {
      if (!isRunning()) return;
      if (culprits.length > 0) {
        this.crash(engine, culprits);
        return;
      }
      engine.runs.delete(run);
      crashGuard.recordSuccess(request);
    });
  }

  private crash(engine: Engine, culprits: readonly string[]): void {
    const { clock } = this.fleet;
    culprits.forEach((trait) =>
      this.crashes.set(trait, [...(this.crashes.get(trait) ?? []), clock.now()]),
    );
    const name = `e${this.engines.indexOf(engine)}-${engine.process}`;
    const broken = [...engine.runs];
    Object.assign(engine, { process: engine.process + 1, isUp: false, runs: new Set() });
    clock.after(this.options.restartMs, () => Object.assign(engine, { isUp: true }));
    broken.forEach((run) => {
      const { crashGuard } = run.host.coordination;
      crashGuard.recordFailure(run.request, name, CRASHED);
      const mayRetry = run.attempt < MAX_ATTEMPTS && !crashGuard.guardFor(run.request).isBlocked();
      if (mayRetry) this.run({ ...run, attempt: run.attempt + 1 });
      else crashGuard.recordEnd(run.request);
    });
  }

  private culpritsOf({ shared }: WorldRequest): readonly string[] {
    return this.culprits.filter((trait) => shared.includes(trait));
  }
}
