import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** Engines kept away from a request after it failed there. */
const MAX_AVOIDED = 4;

/** How far a completion has come, over all its attempts. */
export class CompletionProgress {
  private text = '';

  private position = 0;

  private avoided: readonly UpstreamId[] = [];

  private dispatched = false;

  private delivered = false;

  private answered = false;

  private runs = 0;

  private open = false;

  /**
   * @param promptTokens - Estimate of the prompt's tokens.
   * @param startedAt - When the request was accepted.
   * @param digest - Digest of model and prompt.
   * @param fromPosition - Position of the first token to deliver.
   */
  constructor(
    readonly promptTokens: Tokens,
    readonly startedAt: Millis,
    readonly digest: string,
    fromPosition = 0,
  ) {
    this.position = fromPosition;
  }

  /** Gets the text delivered so far. */
  getText(): string {
    return this.text;
  }

  /** Gets the position of the next token to deliver. */
  getPosition(): number {
    return this.position;
  }

  /** Gets the engines on which the request failed, latest last. */
  getAvoided(): readonly UpstreamId[] {
    return this.avoided;
  }

  /** Tells whether any engine was given work for this request. */
  wasDispatched(): boolean {
    return this.dispatched;
  }

  /** Notes that an engine is given work. */
  noteDispatch(): void {
    this.dispatched = true;
    this.open = true;
  }

  /** Notes a delivered token. */
  noteToken(text: string): void {
    this.text += text;
    this.position += 1;
    this.delivered = true;
  }

  /** Notes a delivered event of a call that is passed on. */
  notePiece(position: number): void {
    this.position = position + 1;
    this.delivered = true;
  }

  /** Notes that an engine may have begun to give output, and did not end it. */
  noteRun(): void {
    this.runs += 1;
  }

  /** Notes that an engine gave its whole answer. */
  noteAnswered(): void {
    this.answered = true;
  }

  /** Gets how many engines may have begun to give output without an end. */
  getRuns(): number {
    return this.runs;
  }

  /** Tells whether anything of the output was delivered. */
  hasDelivered(): boolean {
    return this.delivered;
  }

  /** Tells whether an engine began this request, or may have begun it unseen. */
  mayHaveBegun(): boolean {
    return this.runs > 0 || this.delivered || this.answered || this.open;
  }

  /** Notes an engine on which the request failed. */
  noteFailure(engine: UpstreamId): void {
    this.open = false;
    this.avoided = [...this.avoided, engine].slice(-MAX_AVOIDED);
  }

  /** Gets the tokens that the team is charged for. */
  getUsedTokens(): Tokens {
    return this.dispatched ? this.promptTokens + this.position : 0;
  }
}
