import type { Refusal, RequestId, TeamId } from '@camphorvane/core';
import type { AuthenticatedCaller } from './Authenticator.ts';

/** One request that is being served. */
export interface InFlightRequest {
  readonly id: RequestId;
  readonly team: TeamId;
  /** Digest of the caller's key; undefined on routes that need none. */
  readonly keyDigest: string | undefined;
  /** Aborted when the caller has gone or the host ends the request. */
  readonly abort: AbortController;
}

/** The requests that a host is serving. */
export class InFlight {
  private readonly requests = new Map<RequestId, InFlightRequest>();

  private readonly idle: (() => void)[] = [];

  /** Gets how many requests are being served. */
  size(): number {
    return this.requests.size;
  }

  /**
   * Enters a request.
   *
   * @param request - The request.
   * @returns A function that takes it out again.
   */
  enter(request: InFlightRequest): () => void {
    this.requests.set(request.id, request);
    return () => {
      this.requests.delete(request.id);
      if (this.requests.size === 0) this.idle.splice(0).forEach((resolve) => resolve());
    };
  }

  /**
   * Enters a caller's request, and ties its end to its caller's.
   *
   * @param id - The request.
   * @param caller - Who sent it.
   * @param signal - Aborted when the caller has gone.
   * @returns What ends the request, and a function that takes it out again.
   */
  join(
    id: RequestId,
    caller: AuthenticatedCaller,
    signal: AbortSignal,
  ): { readonly abort: AbortController; readonly leave: () => void } {
    const abort = new AbortController();
    const gone = (): void => abort.abort();
    signal.addEventListener('abort', gone, { once: true });
    if (signal.aborted) gone();
    const out = this.enter({ id, team: caller.team.id, keyDigest: caller.keyDigest, abort });
    const leave = (): void => {
      signal.removeEventListener('abort', gone);
      out();
    };
    return { abort, leave };
  }

  /**
   * Ends every request whose key is no longer in force.
   *
   * @param isInForce - Tells whether the key with a digest still stands for a team.
   * @param refusal - What their callers are told.
   * @returns How many were ended.
   */
  endWithdrawn(isInForce: (keyDigest: string, team: TeamId) => boolean, refusal: Refusal): number {
    const withdrawn = [...this.requests.values()].filter(
      (r) => r.keyDigest !== undefined && !isInForce(r.keyDigest, r.team),
    );
    withdrawn.forEach((request) => request.abort.abort(refusal));
    return withdrawn.length;
  }

  /** Gets a promise that resolves once no request is being served. */
  whenIdle(): Promise<void> {
    if (this.requests.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idle.push(resolve);
    });
  }
}
