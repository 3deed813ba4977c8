import {
  type Millis,
  type Pieces,
  type Tokens,
  type UpstreamId,
  piecesFor,
} from '@camphorvane/core';
import type { Attempt } from '../physics/Attempt.ts';
import type { DecodeFake } from '../physics/DecodeFake.ts';
import type { PrefillFake } from '../physics/PrefillFake.ts';
import type { SimRequest } from '../workload/SimRequest.ts';
import { CLASS_PRIORITY, type Policy, type PolicyContext } from './Policy.ts';

/** How one all-knowing run decides; the best of several is the limit, chosen with hindsight. */
export interface OracleVariant {
  readonly order: 'arrival' | 'shortest';
  /** Share of streams that summaries leave to lookups. */
  readonly leftToLookups: number;
  /** How far ahead it takes engines that will get slower as slow already, in milliseconds. */
  readonly foresightMs: Millis;
}

/** The variants that are tried. */
export const ORACLE_VARIANTS: readonly OracleVariant[] = [
  { order: 'arrival', leftToLookups: 0.1, foresightMs: 0 },
  { order: 'arrival', leftToLookups: 0.3, foresightMs: 6_000 },
  { order: 'shortest', leftToLookups: 0, foresightMs: 0 },
  { order: 'shortest', leftToLookups: 0.2, foresightMs: 6_000 },
];

/** Prefill work that may wait at an engine besides what runs; there is no hop to bridge. */
const MAX_WAITING_MS = 10;

/** Waiting requests of one class that are looked at in one pass. */
const LOOK_AT = 8;

const MS_PER_SECOND = 1000;

interface Assigned {
  streams: number;
  pieces: Pieces;
  /** Prompt pieces that have still to come over the link. */
  coming: Pieces;
}

/**
 * Knows everything at once and without lag: the length of each answer, the true speed and the true
 * cache of each engine. It takes memory for the actual answer and not for the longest allowed one.
 */
export class Oracle implements Policy {
  private waiting: Readonly<Record<SimRequest['class'], SimRequest[]>> = {
    lookup: [],
    certificate: [],
    summary: [],
  };

  private readonly assigned: ReadonlyMap<UpstreamId, Assigned>;

  constructor(
    private readonly ctx: PolicyContext,
    private readonly variant: OracleVariant,
  ) {
    this.assigned = new Map(
      ctx.world.decodes.map((engine) => [engine.id, { streams: 0, pieces: 0, coming: 0 }]),
    );
  }

  arrive(request: SimRequest): void {
    const { timeline } = this.ctx.world;
    if (!request.withinRate) {
      this.ctx.book.refused(request, 'over_rate', timeline.now);
      return;
    }
    timeline.at(request.arrivesAt + request.firstTokenLimitMs, () => this.giveUp(request));
    this.enqueue(request);
    this.pass();
  }

  private enqueue(request: SimRequest): void {
    const list = this.waiting[request.class];
    const key = (other: SimRequest): number =>
      this.variant.order === 'arrival' ? other.arrivesAt : other.outputTokens + other.promptTokens;
    const at = list.findIndex((other) => key(other) > key(request));
    list.splice(at < 0 ? list.length : at, 0, request);
  }

  private giveUp(request: SimRequest): void {
    const list = this.waiting[request.class];
    const at = list.indexOf(request);
    if (at < 0 || this.ctx.book.hasFirstToken(request)) return;
    list.splice(at, 1);
    this.ctx.book.refused(request, 'target_missed', this.ctx.world.timeline.now);
  }

  private pass(): void {
    (['lookup', 'certificate', 'summary'] as const).forEach((kind) => {
      const tried = this.waiting[kind].slice(0, LOOK_AT);
      const started = tried.filter((request) => this.tryStart(request));
      started.forEach((request) => {
        this.waiting[kind].splice(this.waiting[kind].indexOf(request), 1);
      });
      if (started.length === LOOK_AT) this.pass();
    });
  }

  /** Starts a request where its first token can come in time; it waits otherwise. */
  private tryStart(request: SimRequest): boolean {
    const { world } = this.ctx;
    const decode = this.chooseDecode(request);
    const prefill = decode === undefined ? undefined : this.choosePrefill(request);
    if (prefill === undefined || decode === undefined) return false;
    const lateAt = request.arrivesAt + request.firstTokenLimitMs;
    const firstTokenAt = world.timeline.now + this.getFirstTokenMs(request, prefill, decode);
    // A stream that an engine lost has shown its first token already and goes on whenever it can.
    if (firstTokenAt > lateAt && !this.ctx.book.hasFirstToken(request)) return false;
    this.start(request, prefill, decode);
    return true;
  }

  private choosePrefill(request: SimRequest): PrefillFake | undefined {
    const { prefills, down } = this.ctx.world;
    const priority = CLASS_PRIORITY[request.class];
    return prefills
      .filter((engine) => !down.has(engine.id))
      .filter((engine) => engine.getTimeMs(engine.getBacklog(priority)) <= MAX_WAITING_MS)
      .map((engine) => ({ engine, ms: this.getPrefillMs(request, engine) }))
      .reduce<{ readonly engine: PrefillFake; readonly ms: Millis } | undefined>(
        (best, next) => (best === undefined || next.ms < best.ms ? next : best),
        undefined,
      )?.engine;
  }

  private getPrefillMs(request: SimRequest, engine: PrefillFake): Millis {
    const own: Tokens = request.promptTokens - engine.getCached(request.prefixes);
    return engine.getTimeMs(engine.getBacklog(CLASS_PRIORITY[request.class]) + own);
  }

  private chooseDecode(request: SimRequest): DecodeFake | undefined {
    const { decodes, down } = this.ctx.world;
    const left = request.class === 'summary' ? this.variant.leftToLookups : 0;
    const pieces = truePieces(request);
    const room = (engine: DecodeFake): number => {
      const used = this.getAssigned(engine.id);
      const useful = this.getUsefulStreams(engine) * (1 - left);
      if (used.streams + 1 > useful || used.pieces + pieces > engine.cfg.memoryPieces) return -1;
      return 1 - (used.streams + 1) / (useful + 1);
    };
    return decodes
      .filter((engine) => !down.has(engine.id))
      .map((engine) => ({ engine, room: room(engine) }))
      .filter((candidate) => candidate.room >= 0)
      .reduce<{ readonly engine: DecodeFake; readonly room: number } | undefined>(
        (best, next) => (best === undefined || next.room > best.room ? next : best),
        undefined,
      )?.engine;
  }

  private getUsefulStreams(engine: DecodeFake): number {
    const { timeline, workload } = this.ctx.world;
    const until = timeline.now + this.variant.foresightMs;
    const coming = workload.faults.filter(
      (fault) =>
        fault.type === 'slow' &&
        fault.atMs > timeline.now &&
        fault.atMs <= until &&
        fault.engines.includes(engine.id),
    );
    const slowest = coming.reduce((most, fault) => Math.max(most, fault.factor), 0);
    return engine.getUsefulStreams(workload.itlTargetMs, slowest);
  }

  private getFirstTokenMs(request: SimRequest, prefill: PrefillFake, decode: DecodeFake): Millis {
    const { coming, streams } = this.getAssigned(decode.id);
    const pieces = coming + piecesFor(request.promptTokens);
    const linkMs = (pieces * MS_PER_SECOND) / this.ctx.world.workload.linkPiecesPerSecond;
    return this.getPrefillMs(request, prefill) + linkMs + decode.getStepMs(streams);
  }

  private start(request: SimRequest, prefill: PrefillFake, decode: DecodeFake): void {
    const { world, book } = this.ctx;
    const used = this.getAssigned(decode.id);
    const place = { prefill: prefill.id, decode: decode.id, pieces: truePieces(request) };
    const moved = piecesFor(request.promptTokens);
    used.streams += 1;
    used.pieces += place.pieces;
    used.coming += moved;
    const free = (attempt: Attempt): void => {
      used.streams -= 1;
      used.pieces -= place.pieces;
      if (attempt.firstTokenAt === undefined) used.coming -= moved;
    };
    world.start(request, place, CLASS_PRIORITY[request.class], {
      prefillEnded: () => world.timeline.after(0, () => this.pass()),
      firstToken: () => {
        used.coming -= moved;
        book.firstToken(request, world.timeline.now);
      },
      whole: (attempt) => {
        free(attempt);
        book.whole(request, attempt, world.timeline.now);
        this.pass();
      },
      lost: (attempt) => {
        free(attempt);
        this.enqueue(request);
        if (world.timeline.now >= request.arrivesAt + request.firstTokenLimitMs) {
          this.giveUp(request);
        }
        world.timeline.after(0, () => this.pass());
      },
    });
  }

  private getAssigned(id: UpstreamId): Assigned {
    const used = this.assigned.get(id);
    if (used === undefined) throw new Error(`No decode engine ${id}.`);
    return used;
  }
}

function truePieces(request: SimRequest): Pieces {
  return piecesFor(request.promptTokens + request.outputTokens);
}
