import type { Clock, HostId, RandomSource, ZoneId } from '@camphorvane/core';
import type { MemoryNetwork, MemoryObjectStore } from '@camphorvane/stand-ins';
import { ResultAsync } from 'neverthrow';
import type { PeerLink, PeerSender } from '@camphorvane/peer';
import type { HostEdges, Subject, SubjectHost } from '../subject/Subject.ts';
import type { Dispatch } from './DispatchLog.ts';
import { DispatchLog } from './DispatchLog.ts';
import { HostLife } from './HostLife.ts';
import { LinkedEngine } from './LinkedEngine.ts';
import { LinkedServer } from './LinkedServer.ts';
import { LinkedStore } from './LinkedStore.ts';
import { UpstreamLink } from './UpstreamLink.ts';
import type { Upstreams } from './Upstreams.ts';
import type { Wires } from './Wires.ts';

/** What hosts of one world share. */
export interface HostSurroundings {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: MemoryObjectStore;
  readonly network: MemoryNetwork;
  readonly wires: Wires;
  readonly upstreams: Upstreams;
  readonly dispatches: Dispatch[];
  readonly subject: Subject;
}

/** A host that runs now. */
export interface LiveHost {
  readonly life: HostLife;
  readonly host: SubjectHost;
}

/** A version that a host was seen with; a restart begins anew. */
export interface SeenVersion {
  readonly host: HostId;
  readonly starts: number;
  readonly at: number;
  readonly version: number;
}

const MAX_CLOCK_OFFSET_MS = 1_000_000;

/** One machine for a host: what runs on it can be killed, paused, drained and started anew. */
export class HostSlot {
  private live: LiveHost | undefined;

  private starts = 0;

  private powerLost = false;

  constructor(
    readonly id: HostId,
    private readonly zone: ZoneId,
    private readonly world: HostSurroundings,
  ) {}

  /** Gets the host that runs now, if any. */
  get running(): LiveHost | undefined {
    return this.live;
  }

  /** Gets how often a host was started here. */
  get startCount(): number {
    return this.starts;
  }

  /** Starts a host; does nothing where one runs. */
  start(): void {
    if (this.live !== undefined) return;
    this.powerLost = false;
    const offset = this.world.random.int(0, MAX_CLOCK_OFFSET_MS);
    const life = new HostLife(this.world.clock, offset);
    const host = this.world.subject.build(this.edges(life));
    this.starts += 1;
    this.live = { life, host };
    void host.start();
  }

  /** Kills the host at once. */
  kill(powerLoss: boolean): void {
    this.powerLost = powerLoss;
    this.live?.life.kill();
    this.live = undefined;
    if (!powerLoss) this.world.network.detach(this.id);
  }

  /** Drains the host; when that is done its process is gone. */
  async drain(): Promise<void> {
    const { live } = this;
    if (live === undefined) return;
    await live.host.drain();
    if (this.live === live) this.kill(false);
  }

  /** Gets the version of the configuration that the host has in force. */
  seenVersion(): SeenVersion | undefined {
    if (this.live === undefined) return undefined;
    const version = this.live.host.configVersion();
    return { host: this.id, starts: this.starts, at: this.world.clock.now(), version };
  }

  private edges(life: HostLife): HostEdges {
    const { world } = this;
    const log = new DispatchLog(this.id, world.clock, world.dispatches);
    const link = (upstream: string): UpstreamLink =>
      new UpstreamLink(
        { host: this.id, life, resetsOnKill: () => !this.powerLost },
        upstream,
        world.wires,
      );
    return {
      id: this.id,
      zone: this.zone,
      callerAddress: `${this.id}:8080`,
      peerAddress: `${this.id}:7070`,
      starts: this.starts,
      clock: life,
      random: world.random,
      store: new LinkedStore(world.store, this.id, life, world.wires),
      engines: (cfg) => new LinkedEngine(world.upstreams.engine(cfg.id), link(cfg.id), log),
      servers: (cfg, onSignals) =>
        new LinkedServer(world.upstreams.server(cfg.id), link(cfg.id), log, onSignals),
      peers: (sender) => this.peerLink(sender, life),
      listen: (handler) => {
        world.network.attach(this.id, {
          answer: async (from, req) => {
            await life.gate();
            return handler.answer(from, req);
          },
        });
      },
    };
  }

  private peerLink(sender: PeerSender, life: HostLife): PeerLink {
    const inner = this.world.network.link(sender, life);
    return {
      ask: (to, req, timeoutMs) => {
        const answer = Promise.resolve(inner.ask(to, req, timeoutMs));
        return new ResultAsync(answer.then((result) => life.gate().then(() => result)));
      },
    };
  }
}
