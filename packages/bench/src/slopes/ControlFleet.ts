import type { EngineRole, HostId, RoutingConfig, TeamId } from '@camphorvane/core';
import { RandomSource, VirtualClock, sha256Hex } from '@camphorvane/core';
import { applyConfig } from '@camphorvane/operator';
import type { PeerLink } from '@camphorvane/peer';
import { requestBytes, responseBytes } from '@camphorvane/peer';
import { groupCoordination, Host, Metrics } from '@camphorvane/router';
import {
  EngineCore,
  MemoryNetwork,
  MemoryObjectStore,
  engineSettings,
} from '@camphorvane/stand-ins';

/** What a fleet carries while it is measured. */
export interface FleetLoad {
  readonly hosts: number;
  readonly teams: number;
  /** Completions started in a second, over all hosts. */
  readonly requestsPerSecond: number;
  readonly outputTokens: number;
}

/** What one host spends on control in a second, as a mean over hosts and time. */
export interface ControlRate {
  /** Questions sent; each has one answer. */
  readonly messages: number;
  /** Bytes of questions and answers, sent and received, without framing. */
  readonly bytes: number;
  /** Streams held at the end of the measurement. */
  readonly streams: number;
}

const WARM_UP_MS = 20_000;
const MEASURED_MS = 20_000;
const SECOND_MS = 1_000;
/** Share of requests that may be refused in a measurement. */
const MOST_REFUSED = 0.02;

const PREFILL_ENGINES = 2;
const DECODE_ENGINES = 24;
const MEMORY_PIECES = 400;
const MODEL = 'm';

const keyOf = (team: TeamId): string => `cvk_slopes_${team}`;

/** Real hosts over in-memory links that count what passes, under a virtual clock. */
export class ControlFleet {
  private readonly load: FleetLoad;

  private readonly clock = new VirtualClock();

  private readonly random = new RandomSource(7);

  private readonly store = new MemoryObjectStore(this.clock);

  private readonly network = new MemoryNetwork({ latencyMs: 1, loss: 0 }, this.clock, this.random);

  private readonly engines: ReadonlyMap<string, EngineCore>;

  private readonly hosts: readonly Host[];

  private whole = 0;

  private readonly refusals: string[] = [];

  private messages = 0;

  private bytes = 0;

  /** @param load - What it carries. */
  constructor(load: FleetLoad) {
    this.load = load;
    const ids = this.engineIds();
    this.engines = new Map(ids.map(({ id, role }) => [id, this.makeEngine(id, role)]));
    this.hosts = Array.from({ length: load.hosts }, (_, i) => this.makeHost(`h${i}`, i));
  }

  /** Runs the fleet and counts; the same load gives the same counts. */
  async measure(): Promise<ControlRate> {
    void this.apply();
    this.hosts.forEach((host) => host.start());
    await this.clock.advance(WARM_UP_MS);
    await this.serve(WARM_UP_MS);
    const before = { messages: this.messages, bytes: this.bytes };
    await this.serve(MEASURED_MS);
    const perHost = (value: number): number => value / this.load.hosts / (MEASURED_MS / SECOND_MS);
    const rate = {
      messages: perHost(this.messages - before.messages),
      bytes: perHost(2 * (this.bytes - before.bytes)),
      streams: this.inFlight() / this.load.hosts,
    };
    this.checkServed();
    this.hosts.forEach((host) => host.stop());
    await this.clock.advance(SECOND_MS);
    return rate;
  }

  private inFlight(): number {
    return this.hosts.reduce((sum, host) => sum + host.status().inFlight, 0);
  }

  /** Figures of a fleet that refuses say nothing about one that serves. */
  private checkServed(): void {
    const sent = this.whole + this.refusals.length;
    if (this.refusals.length <= sent * MOST_REFUSED) return;
    throw new Error(`${this.refusals.length} of ${sent} refused: ${this.refusals[0] ?? ''}`);
  }

  /** Lets requests arrive evenly, each of a random team at a random host. */
  private async serve(spanMs: number): Promise<void> {
    const count = Math.round((this.load.requestsPerSecond * spanMs) / SECOND_MS);
    const stepMs = spanMs / Math.max(1, count);
    let sent = 0;
    while (sent < count) {
      void this.complete();
      sent += 1;
      await this.clock.advance(stepMs);
    }
    if (count === 0) await this.clock.advance(spanMs);
  }

  private async complete(): Promise<void> {
    const host = this.hosts[this.random.int(0, this.hosts.length - 1)];
    const team = `t${this.random.int(0, this.load.teams - 1)}`;
    if (host === undefined) return;
    const prompt = `slopes ${this.random.next()} #tokens=${this.load.outputTokens}`;
    const events = host.backend.complete(
      host.backend.newRequestId(),
      {
        key: keyOf(team),
        model: MODEL,
        prompt,
        maxTokens: this.load.outputTokens,
        class: 'lookup',
        forwardedByHost: false,
      },
      new AbortController().signal,
    );
    for await (const event of events) {
      if (event.type === 'done') this.whole += 1;
      if (event.type === 'refused') this.refusals.push(event.refusal.code);
    }
  }

  private engineIds(): readonly { readonly id: string; readonly role: EngineRole }[] {
    const named = (role: EngineRole, count: number) =>
      Array.from({ length: count }, (_, i) => ({ id: `${role}-${i}`, role }));
    return [...named('prefill', PREFILL_ENGINES), ...named('decode', DECODE_ENGINES)];
  }

  private makeEngine(id: string, role: EngineRole): EngineCore {
    const settings = engineSettings({ id, role, memoryPieces: MEMORY_PIECES });
    return new EngineCore(settings, this.clock, (source, handle) =>
      Promise.resolve(this.engines.get(source.slice('http://'.length))?.exportKv(handle)),
    );
  }

  private makeHost(name: HostId, index: number): Host {
    const identity = {
      host: name,
      zone: `z${index % 3}`,
      callerAddress: `10.0.0.${index}:80`,
      peerAddress: `10.0.0.${index}:90`,
    };
    const incarnation = `${name}-1`;
    const sender = { host: name, incarnation, protocol: 1 };
    const host = new Host({
      identity,
      incarnation,
      coordination: groupCoordination({
        group: 'g',
        groupSize: this.load.hosts,
        fleetHosts: this.load.hosts,
        store: this.store,
        link: this.counting(this.network.link(sender, this.clock)),
      }),
      drainGraceMs: SECOND_MS,
      clock: this.clock,
      random: new RandomSource(100 + index),
      engines: (cfg) => this.engineOrThrow(cfg.id),
      servers: () => {
        throw new Error('no plain services are measured');
      },
      metrics: new Metrics(),
    });
    this.network.attach(name, host);
    return host;
  }

  private engineOrThrow(id: string): EngineCore {
    const engine = this.engines.get(id);
    if (engine === undefined) throw new Error(`no engine ${id}`);
    return engine;
  }

  private counting(link: PeerLink): PeerLink {
    return {
      ask: (to, req, timeoutMs) => {
        this.messages += 1;
        this.bytes += requestBytes(req);
        return link.ask(to, req, timeoutMs).map((res) => {
          this.bytes += responseBytes(res);
          return res;
        });
      },
    };
  }

  private async apply(): Promise<void> {
    const context = { store: this.store, clock: this.clock, random: new RandomSource(1) };
    await applyConfig(context, this.config(), { changeId: 'slopes', base: { type: 'none' } });
  }

  private config(): RoutingConfig {
    const teams = Array.from({ length: this.load.teams }, (_, i) => ({
      id: `t${i}`,
      rate: { tokensPerSecond: 100_000, burstTokens: 1_000_000 },
      keyDigests: [sha256Hex(keyOf(`t${i}`))],
      models: [],
      weight: 1,
    }));
    const engines = this.engineIds().map(({ id, role }) => ({
      id,
      role,
      url: `http://${id}`,
      zone: 'z0',
      memoryPieces: MEMORY_PIECES,
      checksFencing: true,
    }));
    const pool = {
      model: MODEL,
      engines,
      maxTokens: 40_000,
      ttftTargetMs: 730,
      itlTargetMs: 35,
      linkPiecesPerSecond: 600,
    };
    return { teams, pools: [pool], services: [], waitRules: [] };
  }
}
