import {
  type HostId,
  type Millis,
  type Pieces,
  type Tokens,
  type UpstreamId,
  piecesFor,
} from '@camphorvane/core';
import type { Attempt } from '../physics/Attempt.ts';
import type { SimRequest } from '../workload/SimRequest.ts';
import { BaselinePolicy, type EnginePair } from './BaselinePolicy.ts';
import type { PolicyContext } from './Policy.ts';

interface Report {
  readonly takenAt: Millis;
  readonly usedPieces: Pieces;
  readonly streams: number;
  readonly backlog: Tokens;
}

const NOTHING: Report = { takenAt: 0, usedPieces: 0, streams: 0, backlog: 0 };

const LOWEST_PRIORITY = 2;

/**
 * Each host takes the engines with the least load: the last report plus what the host itself has
 * sent since. A request waits at its host while every decode engine looks full.
 */
export class LeastLoad extends BaselinePolicy {
  private reports: ReadonlyMap<UpstreamId, Report> = new Map();

  constructor(ctx: PolicyContext) {
    super(ctx);
    this.poll();
  }

  protected admits(request: SimRequest): boolean {
    return request.withinRate;
  }

  protected choose(request: SimRequest): EnginePair | undefined {
    const { decodes, prefills, down } = this.ctx.world;
    const pieces = piecesFor(request.promptTokens + request.maxOutputTokens);
    const views = this.getViews(request.host);
    const decode = least(
      decodes
        .filter((engine) => !down.has(engine.id))
        .map((engine) => {
          const { memoryPieces, maxStreams } = engine.cfg;
          const used = views.get(engine.id) ?? NOTHING;
          return {
            id: engine.id,
            load: Math.max(used.usedPieces / memoryPieces, used.streams / maxStreams),
            room: used.usedPieces + pieces <= memoryPieces && used.streams < maxStreams,
          };
        })
        .filter((engine) => engine.room),
    );
    const prefill = least(
      prefills
        .filter((engine) => !down.has(engine.id))
        .map((engine) => ({ id: engine.id, load: views.get(engine.id)?.backlog ?? 0 })),
    );
    return prefill === undefined || decode === undefined ? undefined : { prefill, decode };
  }

  /** Gets the last reports together with what a host has sent since. */
  private getViews(host: HostId): ReadonlyMap<UpstreamId, Report> {
    const views = new Map(this.reports);
    const own = [...this.live.values()].filter((other) => other.request.host === host);
    own.forEach((other) => {
      const prefill = views.get(other.prefill) ?? NOTHING;
      if (other.startedAt > prefill.takenAt) {
        const backlog = prefill.backlog + other.request.promptTokens;
        views.set(other.prefill, { ...prefill, backlog });
      }
      const decode = views.get(other.decode) ?? NOTHING;
      if (other.startedAt <= decode.takenAt && isOnDecode(other)) return;
      const usedPieces = decode.usedPieces + other.pieces;
      views.set(other.decode, { ...decode, usedPieces, streams: decode.streams + 1 });
    });
    return views;
  }

  private poll(): void {
    const { world } = this.ctx;
    const { timeline, workload } = world;
    const takenAt = timeline.now;
    const reports = new Map<UpstreamId, Report>([
      ...world.decodes.map(
        (engine) =>
          [
            engine.id,
            {
              takenAt,
              usedPieces: engine.usedPieces,
              streams: engine.running + engine.waiting,
              backlog: 0,
            },
          ] as const,
      ),
      ...world.prefills.map(
        (engine) =>
          [
            engine.id,
            { takenAt, usedPieces: 0, streams: 0, backlog: engine.getBacklog(LOWEST_PRIORITY) },
          ] as const,
      ),
    ]);
    timeline.after(workload.reports.lagMs, () => {
      this.reports = reports;
      this.dispatch();
    });
    timeline.after(workload.reports.everyMs, () => this.poll());
  }
}

function isOnDecode(attempt: Attempt): boolean {
  return attempt.state === 'transferring' || attempt.state === 'decoding';
}

function least(
  engines: readonly { readonly id: UpstreamId; readonly load: number }[],
): UpstreamId | undefined {
  return engines.reduce<{ readonly id: UpstreamId; readonly load: number } | undefined>(
    (best, next) => (best === undefined || next.load < best.load ? next : best),
    undefined,
  )?.id;
}
