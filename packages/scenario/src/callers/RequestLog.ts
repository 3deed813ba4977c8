import type { HostId, Millis, Refusal } from '@camphorvane/core';
import type { LoadStep } from '../language/scenarioSchema.ts';

/** A request as a caller means it, however often it is sent. */
export interface PlannedRequest {
  /** Stands in the prompt or body, so that what upstreams ran can be told apart. */
  readonly id: string;
  readonly work: LoadStep;
  readonly prompt: string;
  readonly maxTokens: number;
  /** The whole answer that the stand-in engines give. */
  readonly expectedText: string;
}

/** How one send ended, as its caller saw it. */
export type SendOutcome =
  | { readonly type: 'whole' }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The connection broke or the answer ended early without a word. */
  | { readonly type: 'broken' }
  | { readonly type: 'connection_refused' }
  /** The caller heard nothing for too long. */
  | { readonly type: 'unanswered' }
  /** The caller left, as planned. */
  | { readonly type: 'left' };

/** One send of a request to one host. */
export interface Send {
  readonly host: HostId;
  readonly at: Millis;
  readonly endedAt: Millis;
  readonly firstTokenAt: Millis | undefined;
  readonly lastTokenAt: Millis | undefined;
  readonly text: string;
  /** Positions that came, in order. */
  readonly positions: readonly number[];
  /** Whole answers within this one send; more than one is a fault. */
  readonly answers: number;
  /** What is wrong with an answer that claims to be whole. */
  readonly wrong: string | undefined;
  readonly outcome: SendOutcome;
}

/** A request and everything that became of it. */
export interface RequestLog {
  readonly request: PlannedRequest;
  readonly sends: readonly Send[];
}

/** Gets the last send, which tells how the request ended. */
export function lastSend(log: RequestLog): Send | undefined {
  return log.sends.at(-1);
}
