import type {
  CancelTimer,
  Clock,
  Millis,
  RandomSource,
  Refusal,
  RequestId,
  ServiceId,
  UpstreamId,
} from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { ServiceGate } from '@camphorvane/decisions';
import type { GateCall, GateDecision, SlowStart } from '@camphorvane/decisions';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { stateLog } from '../observe/StateLog.ts';
import type { CallShares } from './CallShares.ts';

/** Milliseconds after which servers that have just started may get another waiting call. */
const SLOW_START_RECHECK_MS: Millis = 50;

const log = stateLog('service');

type Chosen = Result<UpstreamId, Refusal>;

interface OpenGate {
  readonly service: ServiceId;
  readonly gate: ServiceGate;
  readonly answers: Map<RequestId, (chosen: Chosen) => void>;
  cancelWake: CancelTimer;
}

/** Runs the gates of all plain services of a host. */
export class ServiceGates {
  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly directory: UpstreamDirectory;

  private readonly hostCount: () => number;

  private readonly shares: CallShares;

  private readonly slowStart: SlowStart;

  private readonly gates = new Map<ServiceId, OpenGate>();

  /**
   * @param clock - Times waits.
   * @param random - Draws among equals.
   * @param directory - Knows the servers.
   * @param hostCount - Gets how many hosts share the servers' places.
   * @param shares - Knows what the other hosts have on the servers.
   * @param slowStart - Knows which servers have just started.
   */
  constructor(
    clock: Clock,
    random: RandomSource,
    directory: UpstreamDirectory,
    hostCount: () => number,
    shares: CallShares,
    slowStart: SlowStart,
  ) {
    this.clock = clock;
    this.random = random;
    this.directory = directory;
    this.hostCount = hostCount;
    this.shares = shares;
    this.slowStart = slowStart;
    shares.setOwn(() => this.countCalls());
  }

  /**
   * Waits for a server.
   *
   * @param service - The service.
   * @param call - The call.
   * @param signal - Aborted when the caller has gone.
   * @returns The server, or a refusal.
   */
  choose(service: ServiceId, call: GateCall, signal: AbortSignal): Promise<Chosen> {
    const open = this.openGate(service);
    return new Promise((resolve) => {
      const gone = (): void => {
        open.gate.withdraw(call.request);
        this.answer(open, call.request, err(notRun('caller_gone', 'The caller has gone.')));
      };
      open.answers.set(call.request, (chosen) => {
        signal.removeEventListener('abort', gone);
        resolve(chosen);
      });
      signal.addEventListener('abort', gone, { once: true });
      if (signal.aborted) {
        gone();
        return;
      }
      this.reshape(open, this.clock.now());
      const refusal = open.gate.submit(call, this.clock.now());
      if (refusal === undefined) this.schedule(open);
      else this.answer(open, call.request, err(refusal));
    });
  }

  /** Ends a running call. */
  ended(service: ServiceId, call: GateCall, server: UpstreamId, failed: boolean): void {
    const open = this.openGate(service);
    open.gate.ended(call.team, server, failed, this.clock.now());
    this.schedule(open);
  }

  /** Takes changed services, or a changed number of hosts, into force. */
  refresh(): void {
    this.gates.forEach((open) => this.schedule(open));
  }

  private openGate(service: ServiceId): OpenGate {
    const known = this.gates.get(service);
    if (known !== undefined) return known;
    const open: OpenGate = {
      service,
      gate: new ServiceGate(this.random),
      answers: new Map(),
      cancelWake: () => undefined,
    };
    this.gates.set(service, open);
    return open;
  }

  /** Takes this host's share of the places into force, at least one at each server, and gets it. */
  private reshape({ gate, service }: OpenGate, now: Millis): number {
    const hosts = Math.max(1, this.hostCount());
    const servers = this.directory.getService(service)?.servers ?? [];
    const places = servers.reduce((sum, { maxConcurrent }) => sum + maxConcurrent, 0);
    const share = this.shares.shareOf(service, places, hosts, now);
    const part = share / Math.max(1, places);
    const limits = servers.map(({ id, maxConcurrent }) => ({
      id,
      limit: Math.max(1, Math.min(maxConcurrent, Math.ceil(maxConcurrent * part))),
      allowance: this.slowStart.allowance(id, now),
    }));
    gate.reshape(limits, Math.max(servers.length, Math.floor(share)));
    return share;
  }

  private countCalls(): ReadonlyMap<ServiceId, number> {
    return new Map([...this.gates].map(([id, { gate }]) => [id, gate.callCount]));
  }

  private schedule(open: OpenGate): void {
    open.cancelWake();
    const now = this.clock.now();
    const share = this.reshape(open, now);
    open.gate.step(now).forEach((decision) => this.carryOut(open, decision, share));
    const wake = this.nextWake(open, now);
    if (wake === undefined) return;
    // The gate's state is this host's own; a field of the entry is the natural place for its timer.
    Object.assign(open, {
      cancelWake: this.clock.after(Math.max(1, wake - now), () => this.schedule(open)),
    });
  }

  private nextWake({ gate, service }: OpenGate, now: Millis): Millis | undefined {
    const wake = gate.nextWake();
    const servers = this.directory.getService(service)?.servers ?? [];
    const isBounded = servers.some(({ id }) => this.slowStart.allowance(id, now) < Infinity);
    return wake !== undefined && isBounded ? Math.min(wake, now + SLOW_START_RECHECK_MS) : wake;
  }

  private carryOut(open: OpenGate, decision: GateDecision, share: number): void {
    switch (decision.type) {
      case 'place':
        this.slowStart.used(decision.server, this.clock.now());
        log('placed', {
          id: decision.request,
          server: decision.server,
          waitedMs: Math.round(decision.waitedMs),
          calls: open.gate.callCount,
          share: Math.round(share * 10) / 10,
        });
        this.answer(open, decision.request, ok(decision.server));
        break;
      case 'refuse':
        this.answer(open, decision.request, err(decision.refusal));
        break;
      default:
        decision satisfies never;
    }
  }

  private answer(open: OpenGate, request: RequestId, chosen: Chosen): void {
    const answer = open.answers.get(request);
    open.answers.delete(request);
    answer?.(chosen);
  }

  /** Gets how long calls may wait at most, for the state dump. */
  dump(): Readonly<Record<ServiceId, number>> {
    return Object.fromEntries([...this.gates].map(([id, open]) => [id, open.gate.waitingCount]));
  }
}

/** Longest wait of a call for a server, in milliseconds; part of the service's own timeout. */
export const MAX_SERVICE_WAIT_MS: Millis = 2_000;
