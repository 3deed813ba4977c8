import { RandomSource, VirtualClock } from '@camphorvane/core';
import type { HostId, Millis, RoutingConfig, UpstreamId, UpstreamSignals } from '@camphorvane/core';
import { MemoryNetwork, MemoryObjectStore } from '@camphorvane/stand-ins';
import type { ServiceSettings } from '@camphorvane/stand-ins';
import type { RequestLog, Send } from '../callers/RequestLog.ts';
import { Caller } from '../callers/Caller.ts';
import { HostChooser } from '../callers/HostChooser.ts';
import { plannedRequest } from '../callers/plannedRequest.ts';
import { hostNames, zoneOf } from '../language/names.ts';
import { routingConfigOf } from '../language/routingConfig.ts';
import type { LoadStep, Scenario } from '../language/scenarioSchema.ts';
import type { Subject } from '../subject/Subject.ts';
import type { Dispatch } from './DispatchLog.ts';
import { HostSlot } from './HostSlot.ts';
import type { SeenVersion } from './HostSlot.ts';
import { spreadSeed } from './spreadSeed.ts';
import { Upstreams } from './Upstreams.ts';
import { Wires } from './Wires.ts';

const SECOND_MS = 1000;

/** A configuration that was applied. */
export interface AppliedConfig {
  readonly at: Millis;
  readonly config: RoutingConfig;
  /** Undefined while it is not accepted yet. */
  readonly version: number | undefined;
}

/** What a server asked for in its answers, and when. */
export interface Asked {
  readonly upstream: UpstreamId;
  readonly signals: UpstreamSignals;
  readonly from: Millis;
  readonly to: Millis;
}

/** A host that began to drain. */
export interface Drain {
  readonly host: HostId;
  readonly at: Millis;
  /** Which start of the host it was. */
  readonly starts: number;
}

/** Everything that a scenario runs in: hosts, stand-ins, callers and one virtual time. */
export class World {
  readonly clock = new VirtualClock();

  readonly store: MemoryObjectStore;

  readonly network: MemoryNetwork;

  readonly wires: Wires;

  readonly upstreams: Upstreams;

  readonly slots: ReadonlyMap<HostId, HostSlot>;

  readonly chooser: HostChooser;

  readonly dispatches: Dispatch[] = [];

  readonly versions: SeenVersion[] = [];

  readonly applied: AppliedConfig[] = [];

  readonly drains: Drain[] = [];

  readonly asked: Asked[] = [];

  private readonly started: { readonly log: RequestLog; readonly done: Promise<unknown> }[] = [];

  private readonly caller: Caller;

  private readonly random: RandomSource;

  /**
   * @param scenario - What to build.
   * @param seed - Decides everything random.
   * @param subject - The hosts under test.
   * @param servers - Changes how servers behave, to show that checks can fail.
   */
  constructor(
    readonly scenario: Scenario,
    seed: number,
    private readonly subject: Subject,
    servers: Partial<ServiceSettings> = {},
  ) {
    const latencyMs = scenario.fleet.latency * SECOND_MS;
    this.random = new RandomSource(spreadSeed(seed, 'world'));
    this.store = new MemoryObjectStore(this.clock);
    this.network = new MemoryNetwork(
      { latencyMs, loss: scenario.fleet.loss },
      this.clock,
      this.random,
    );
    this.wires = new Wires(this.clock, latencyMs);
    this.upstreams = new Upstreams(scenario, this.clock, servers);
    this.slots = this.makeSlots();
    this.chooser = new HostChooser(this.slots, this.clock, this.random);
    this.caller = new Caller(this.slots, this.chooser, this.clock, latencyMs);
  }

  /** Gets what became of all requests that were sent so far. */
  get requests(): readonly RequestLog[] {
    return this.started.map(({ log }) => log);
  }

  /** Gets the configuration that was applied last. */
  get config(): RoutingConfig {
    return this.applied.at(-1)?.config ?? routingConfigOf(this.scenario);
  }

  /** Applies a configuration as an operator does. */
  async apply(config: RoutingConfig): Promise<void> {
    const index = this.applied.length;
    const at = this.clock.now();
    this.applied.push({ at, config, version: undefined });
    const version = await this.subject.publish(this.store, this.clock, config);
    this.applied[index] = { at, config, version };
  }

  /** Sends one request of a load. */
  send(work: LoadStep): void {
    const request = plannedRequest(`r${this.started.length + 1}`, work);
    const sends: Send[] = [];
    const done = this.caller.run(request, sends);
    this.started.push({ log: { request, sends }, done });
  }

  /** Gets the slot of a host. */
  slot(id: HostId): HostSlot {
    const slot = this.slots.get(id);
    if (slot === undefined) throw new Error(`no host ${id} in this scenario`);
    return slot;
  }

  /** Notes which version each host has in force. */
  noteVersions(): void {
    this.slots.forEach((slot) => {
      const seen = slot.seenVersion();
      if (seen !== undefined) this.versions.push(seen);
    });
  }

  private makeSlots(): ReadonlyMap<HostId, HostSlot> {
    const { clock, random, store, network, wires, upstreams, dispatches, subject } = this;
    const shared = { clock, random, store, network, wires, upstreams, dispatches, subject };
    return new Map(
      hostNames(this.scenario).map((id, index) => [
        id,
        new HostSlot(id, zoneOf(this.scenario, index), shared),
      ]),
    );
  }
}
