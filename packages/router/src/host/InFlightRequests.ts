import type { Refusal, RequestId, TeamId } from '@camphorvane/core';
import type { AuthenticatedCaller } from './Authenticator.ts';

/** A request in flight. */
export interface InFlightRequest {
  readonly id: RequestId;
  readonly team: TeamId;
  /** Digest of the caller's key; undefined on routes without keys. */
  readonly keyDigest: string | undefined;
  /** Aborted when the caller disconnects or the host ends the request. */
  readonly abort: AbortController;
  /** Whether it is served for a peer. */
  readonly isRelayed: boolean;
}

/** Tracks the requests in flight on a host. */
export class InFlightRequests {
  private readonly requests = new Map<RequestId, InFlightRequest>();

  private readonly idleWaiters: (() => void)[] = [];

  /** Gets the number of requests in flight. */
  size(): number {
    return this.requests.size;
  }

  /**
   * Adds a request.
   *
   * @param request - The request.
   * @returns A function that removes it.
   */
  add(request: InFlightRequest): () => void {
    this.requests.set(request.id, request);
    return () => {
      this.requests.delete(request.id);
      if (this.requests.size === 0) this.idleWaiters.splice(0).forEach((resolve) => resolve());
    };
  }

  /**
   * Adds a caller's request, which is aborted when its caller disconnects.
   *
   * @param id - Id of the request.
   * @param caller - The authenticated caller.
   * @param signal - Aborted when the caller disconnects.
   * @param isRelayed - Whether it is served for a peer.
   * @returns The controller that aborts the request, and a function that removes it.
   */
  addForCaller(
    id: RequestId,
    caller: AuthenticatedCaller,
    signal: AbortSignal,
    isRelayed = false,
  ): { readonly abort: AbortController; readonly leave: () => void } {
    const abort = new AbortController();
    const onCallerAbort = (): void => abort.abort();
    signal.addEventListener('abort', onCallerAbort, { once: true });
    if (signal.aborted) onCallerAbort();
    const { team, keyDigest } = caller;
    const remove = this.add({ id, team: team.id, keyDigest, abort, isRelayed });
    const leave = (): void => {
      signal.removeEventListener('abort', onCallerAbort);
      remove();
    };
    return { abort, leave };
  }

  /**
   * Aborts all requests whose key is no longer in force.
   *
   * @param isInForce - Checks whether the key with a digest still belongs to a team.
   * @param refusal - The reason of the abort, which callers receive.
   * @returns The number of aborted requests.
   */
  abortWithdrawn(
    isInForce: (keyDigest: string, team: TeamId) => boolean,
    refusal: Refusal,
  ): number {
    const withdrawn = [...this.requests.values()].filter(
      (r) => r.keyDigest !== undefined && !isInForce(r.keyDigest, r.team),
    );
    withdrawn.forEach((request) => request.abort.abort(refusal));
    return withdrawn.length;
  }

  /**
   * Aborts the requests of this host's own callers. Those of peers end with the process: a peer goes on elsewhere with
   * a request whose host is lost, and passes a refusal on.
   *
   * @param refusal - The reason of the abort, which callers receive.
   */
  abortOwn(refusal: Refusal): void {
    [...this.requests.values()]
      .filter(({ isRelayed }) => !isRelayed)
      .forEach(({ abort }) => abort.abort(refusal));
  }

  /** Waits until no request is in flight. */
  waitUntilIdle(): Promise<void> {
    if (this.requests.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }
}
