import type { Millis, SoftwareVersion, Tokens, UpstreamId } from '@camphorvane/core';
import type { StreamBinding } from '@camphorvane/decisions';
import { bindingTo, FREE_STREAM } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { isStreamStopped, isUnconfirmedEnd } from './attemptEnds.ts';
import type { AttemptPlan } from './completionAttemptPlan.ts';
import type { GuardedRequest } from './CrashGuard.ts';
import type { RequestRetries } from './RequestRetries.ts';
import type { CompletionPolicy } from './resolvedCompletion.ts';

/** Most engines that a request avoids after it failed there; the latest are kept. */
const MAX_AVOIDED_ENGINES = 4;

/** Progress of a completion over all its attempts. */
export class CompletionProgress {
  private text = '';

  private position: number;

  private avoided: readonly UpstreamId[] = [];

  private dispatched = false;

  private delivered = false;

  private head = false;

  /** Whether the positions of forwarded events have had a gap or a repetition. */
  private hasGaps = false;

  /** Position at which an attempt closed the stream without an event; undefined where none did. */
  private emptyEnd: number | undefined;

  private answered = false;

  private executions = 0;

  private binding: StreamBinding;

  /** Whether an engine may have run the request for another host. */
  private readonly hasRunElsewhere: boolean;

  /** Whether an engine has the request and has not failed. */
  private isInFlight = false;

  /** When the last attempt began. */
  private sentAt: Millis | undefined;

  /** Whether the last attempt ended since its engine was asked to stop it. */
  private hasLastStopped = false;

  /**
   * @param promptTokens - Estimated tokens of the prompt.
   * @param startedAt - When the request was accepted.
   * @param traits - What the request has in common with its repeats and with other requests.
   * @param start - Where the stream goes on, at which engines, and whether another host had it before.
   * @param retries - Charges its retries.
   */
  constructor(
    readonly promptTokens: Tokens,
    readonly startedAt: Millis,
    readonly traits: Omit<GuardedRequest, 'id'>,
    start: Pick<CompletionPolicy, 'fromPosition' | 'binding' | 'hasRunElsewhere'>,
    readonly retries: RequestRetries,
  ) {
    this.position = start.fromPosition;
    this.binding = start.binding ?? FREE_STREAM;
    this.hasRunElsewhere = start.hasRunElsewhere === true;
  }

  /** Gets which engines may go on with the stream. */
  getBinding(): StreamBinding {
    return this.binding;
  }

  /** Records the version of the engine that brought an event; the first one binds the stream. */
  recordVersion(version: SoftwareVersion | undefined): void {
    if (this.binding.type === 'free') this.binding = bindingTo(version);
  }

  /** Gets the text that was delivered to the caller. */
  getDeliveredText(): string {
    return this.text;
  }

  /** Gets the position of the next token to deliver. */
  getNextPosition(): number {
    return this.position;
  }

  /** Gets the engines on which the request failed, the latest last. */
  getAvoidedEngines(): readonly UpstreamId[] {
    return this.avoided;
  }

  /** Tells whether the request was dispatched to any engine. */
  wasDispatched(): boolean {
    return this.dispatched;
  }

  /** Records that the request is dispatched to an engine. */
  recordDispatch(now: Millis): void {
    this.dispatched = true;
    this.isInFlight = true;
    this.sentAt = now;
  }

  /** Gets when the request was last dispatched; undefined where it was not. */
  getSentAt(): Millis | undefined {
    return this.sentAt;
  }

  /** Records that the head of a stream was passed on. */
  recordHead(): void {
    this.head = true;
  }

  /** Gets where the next attempt goes on, and what is known of the stream there. */
  getResumePoint(): Pick<
    AttemptPlan,
    'fromPosition' | 'hasHead' | 'hasEndedEmpty' | 'hasRunElsewhere' | 'isNextKnown'
  > {
    const { position: fromPosition, head: hasHead, hasRunElsewhere } = this;
    const isNextKnown = this.delivered && !this.hasGaps;
    const hasEndedEmpty = this.emptyEnd === fromPosition;
    return { fromPosition, hasHead, hasEndedEmpty, hasRunElsewhere, isNextKnown };
  }

  /** Records a delivered token. */
  recordToken(text: string): void {
    this.text += text;
    this.position += 1;
    this.delivered = true;
  }

  /** Records a delivered event of a forwarded call. */
  recordForwardedEvent(position: number): void {
    this.hasGaps ||= this.delivered && position !== this.position;
    this.position = position + 1;
    this.delivered = true;
  }

  /** Records an attempt that failed after its engine may have started to generate output. */
  recordExecution(): void {
    this.executions += 1;
  }

  /** Records that an engine gave its complete answer. */
  recordAnswer(): void {
    this.answered = true;
  }

  /** Gets the number of failed attempts whose engines may have started to generate output. */
  getExecutionCount(): number {
    return this.executions;
  }

  /** Tells whether any output was delivered. */
  hasDelivered(): boolean {
    return this.delivered;
  }

  /** Tells whether an engine has started this request, or may have without the host knowing. */
  mayHaveStarted(): boolean {
    return this.executions > 0 || this.delivered || this.answered || this.isInFlight;
  }

  /** Records an engine on which the request failed, and how. */
  recordFailure(engine: UpstreamId, error: UpstreamError): void {
    this.isInFlight = false;
    this.hasLastStopped = isStreamStopped(error);
    if (isUnconfirmedEnd(error)) this.emptyEnd = this.position;
    this.avoided = [...this.avoided, engine].slice(-MAX_AVOIDED_ENGINES);
  }

  /** Tells whether the last attempt ended since its engine was asked to stop it. */
  wasStopped(): boolean {
    return this.hasLastStopped;
  }

  /** Gets the tokens that the team is charged for: the prompt once dispatched, and the output. */
  getChargeableTokens(): Tokens {
    return this.dispatched ? this.promptTokens + this.position : 0;
  }
}
