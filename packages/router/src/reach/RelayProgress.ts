import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';

/** What the caller has got of a response, over all ways on which its request is served. */
export class RelayProgress {
  private readonly req: ForwardRequest;

  private isBegun = false;

  private lastPosition: number | undefined;

  /** @param req - The request as the caller sent it. */
  constructor(req: ForwardRequest) {
    this.req = req;
    this.lastPosition = req.work?.lastPosition;
  }

  /** Tells whether the caller has got the head of a response. */
  hasHead(): boolean {
    return this.isBegun;
  }

  /**
   * Records an event.
   *
   * @param event - The event.
   * @returns Whether it is passed on: a stream that goes on keeps the head of its first response.
   */
  record(event: ForwardEvent): boolean {
    if (event.type === 'data' && event.position !== undefined) this.lastPosition = event.position;
    if (event.type !== 'head') return true;
    const isFirst = !this.isBegun;
    this.isBegun = true;
    return isFirst;
  }

  /** Gets the request for what the caller has not got yet. */
  getRest(): ForwardRequest {
    const { req, lastPosition } = this;
    const { work } = req;
    return work === undefined ? req : { ...req, work: { ...work, lastPosition } };
  }
}
