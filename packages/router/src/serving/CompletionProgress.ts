import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** Engines kept away from a request after it failed there. */
const MAX_AVOIDED = 4;

/** How far a completion has come, over all its attempts. */
export class CompletionProgress {
  private text = '';

  private position = 0;

  private avoided: readonly UpstreamId[] = [];

  private dispatched = false;

  /**
   * @param promptTokens - Estimate of the prompt's tokens.
   * @param startedAt - When the request was accepted.
   * @param digest - Digest of model and prompt.
   */
  constructor(
    readonly promptTokens: Tokens,
    readonly startedAt: Millis,
    readonly digest: string,
  ) {}

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
  }

  /** Notes a delivered token. */
  noteToken(text: string): void {
    this.text += text;
    this.position += 1;
  }

  /** Notes an engine on which the request failed. */
  noteFailure(engine: UpstreamId): void {
    this.avoided = [...this.avoided, engine].slice(-MAX_AVOIDED);
  }

  /** Gets the tokens that the team is charged for. */
  getUsedTokens(): Tokens {
    return this.dispatched ? this.promptTokens + this.position : 0;
  }
}
