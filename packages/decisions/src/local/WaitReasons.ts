import type { RequestId } from '@camphorvane/core';
import type { QueuedRequest, WaitReason } from './queuedRequests.ts';

/** What each waiting request of a queue has waited for last. */
export class WaitReasons {
  private readonly reasons = new Map<RequestId, WaitReason>();

  /** Gets what a request has waited for last; undefined where it has not waited. */
  get(request: RequestId): WaitReason | undefined {
    return this.reasons.get(request);
  }

  /** Sets what a request waits for. */
  set(request: RequestId, reason: WaitReason): void {
    this.reasons.set(request, reason);
  }

  /** Forgets a request. */
  delete(request: RequestId): void {
    this.reasons.delete(request);
  }

  /** Records what the first request waits for; all others that have waited for nothing yet wait for their turn. */
  record(first: QueuedRequest, reason: WaitReason, waiting: readonly QueuedRequest[]): void {
    waiting.forEach(({ request }) => {
      if (request === first.request) this.reasons.set(request, reason);
      else if (!this.reasons.has(request)) this.reasons.set(request, 'turn');
    });
  }
}
