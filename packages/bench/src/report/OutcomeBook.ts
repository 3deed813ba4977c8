import type { Millis, RefusalCode, RequestId, Tokens } from '@camphorvane/core';
import type { Attempt } from '../physics/Attempt.ts';
import type { SimRequest } from '../workload/SimRequest.ts';

/** What a caller saw of one request. */
export interface Outcome {
  readonly request: SimRequest;
  readonly type: 'whole' | 'refused';
  readonly code: RefusalCode | undefined;
  readonly firstTokenAt: Millis | undefined;
  readonly lastTokenAt: Millis | undefined;
  readonly endedAt: Millis;
  readonly outputTokens: Tokens;
}

/** Collects what callers saw; each request ends once, and a second end is a fault of the policy. */
export class OutcomeBook {
  private readonly ended = new Map<RequestId, Outcome>();

  private readonly firstTokens = new Map<RequestId, Millis>();

  constructor(private readonly requests: readonly SimRequest[]) {}

  /** Gets how many requests have not ended. */
  get open(): number {
    return this.requests.length - this.ended.size;
  }

  /** Gets all outcomes in order of their end. */
  get outcomes(): readonly Outcome[] {
    return [...this.ended.values()];
  }

  /** Tells whether a request has ended. */
  hasEnded(request: SimRequest): boolean {
    return this.ended.has(request.id);
  }

  /** Tells whether a request's caller has seen a token. */
  hasFirstToken(request: SimRequest): boolean {
    return this.firstTokens.has(request.id);
  }

  /** Notes the first token that a caller sees; a resumed stream keeps its first. */
  firstToken(request: SimRequest, at: Millis): void {
    if (!this.firstTokens.has(request.id)) this.firstTokens.set(request.id, at);
  }

  /** Notes a whole answer. */
  whole(request: SimRequest, attempt: Attempt, now: Millis): void {
    this.end(request, 'whole', undefined, attempt.lastTokenAt, now);
  }

  /** Notes a refusal. */
  refused(request: SimRequest, code: RefusalCode, now: Millis): void {
    this.end(request, 'refused', code, undefined, now);
  }

  private end(
    request: SimRequest,
    type: Outcome['type'],
    code: RefusalCode | undefined,
    lastTokenAt: Millis | undefined,
    endedAt: Millis,
  ): void {
    if (this.ended.has(request.id)) throw new Error(`Request ${request.id} ended twice.`);
    this.ended.set(request.id, {
      request,
      type,
      code,
      firstTokenAt: this.firstTokens.get(request.id),
      lastTokenAt,
      endedAt,
      outputTokens: request.outputTokens,
    });
  }
}
