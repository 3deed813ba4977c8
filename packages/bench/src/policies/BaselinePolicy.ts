import type { UpstreamId } from '@camphorvane/core';
import type { Attempt, LossReason } from '../physics/Attempt.ts';
import type { SimRequest } from '../workload/SimRequest.ts';
import { CLASS_PRIORITY, type Policy, type PolicyContext } from './Policy.ts';

/** Engines for one attempt. */
export interface EnginePair {
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
}

/**
 * What both baselines have in common: each host decides for itself, sends work to engines with its
 * class as priority, tries again where a prefill's result was lost, and refuses a request whose
 * first token is not there in time, so that no engine goes on working for it.
 */
export abstract class BaselinePolicy implements Policy {
  protected readonly live = new Map<SimRequest, Attempt>();

  protected waiting: SimRequest[] = [];

  constructor(protected readonly ctx: PolicyContext) {}

  arrive(request: SimRequest): void {
    const { timeline } = this.ctx.world;
    if (!this.admits(request)) {
      this.ctx.book.refused(request, 'over_rate', timeline.now);
      return;
    }
    timeline.at(request.arrivesAt + request.firstTokenLimitMs, () => this.giveUp(request));
    this.enqueue(request);
    this.dispatch();
  }

  /** Tells whether a request is within the rate, as far as its host knows. */
  protected abstract admits(request: SimRequest): boolean;

  /** Chooses engines, or undefined where the request is to wait at its host. */
  protected abstract choose(request: SimRequest): EnginePair | undefined;

  /** Sends whatever can go now, best class first, then in order of arrival. */
  protected dispatch(): void {
    // Where a host's first request of a class finds no room, those behind it wait as well.
    const stuck = new Set<string>();
    this.waiting = this.waiting.filter((request) => {
      const line = `${request.host}/${request.class}`;
      if (stuck.has(line)) return true;
      if (this.send(request)) return false;
      stuck.add(line);
      return true;
    });
  }

  private enqueue(request: SimRequest): void {
    const after = this.waiting.findIndex(
      (other) => CLASS_PRIORITY[other.class] > CLASS_PRIORITY[request.class],
    );
    this.waiting.splice(after < 0 ? this.waiting.length : after, 0, request);
  }

  private send(request: SimRequest): boolean {
    const pair = this.choose(request);
    if (pair === undefined) return false;
    const { world } = this.ctx;
    const attempt = world.start(request, pair, CLASS_PRIORITY[request.class], {
      prefillEnded: () => undefined,
      firstToken: () => this.ctx.book.firstToken(request, world.timeline.now),
      whole: (ended) => this.whole(request, ended),
      lost: (ended, reason) => this.lost(request, reason),
    });
    this.live.set(request, attempt);
    return true;
  }

  private whole(request: SimRequest, attempt: Attempt): void {
    this.live.delete(request);
    this.ctx.book.whole(request, attempt, this.ctx.world.timeline.now);
    this.dispatch();
  }

  private lost(request: SimRequest, reason: LossReason): void {
    this.live.delete(request);
    if (reason === 'cancelled') return;
    this.enqueue(request);
    // Not within the engine's own event: the engine is not done with what it lost.
    this.ctx.world.timeline.after(1, () => this.dispatch());
  }

  private giveUp(request: SimRequest): void {
    const { book, world } = this.ctx;
    if (book.hasEnded(request) || book.hasFirstToken(request)) return;
    const attempt = this.live.get(request);
    this.waiting = this.waiting.filter((other) => other !== request);
    if (attempt !== undefined) world.cancel(attempt);
    book.refused(request, 'target_missed', world.timeline.now);
    this.dispatch();
  }
}
