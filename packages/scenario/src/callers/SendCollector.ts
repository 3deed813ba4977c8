import { sha256Hex } from '@camphorvane/core';
import type { Clock, HostId, Millis } from '@camphorvane/core';
import type { CompletionEvent, ServiceResponse } from '@camphorvane/caller';
import type { PlannedRequest, Send, SendOutcome } from './RequestLog.ts';

/** Gathers what a caller sees of one send. */
export class SendCollector {
  private readonly at: Millis;

  private firstTokenAt: Millis | undefined;

  private lastTokenAt: Millis | undefined;

  private readonly texts: string[] = [];

  private readonly positions: number[] = [];

  private answers = 0;

  private wrong: string | undefined;

  constructor(
    private readonly request: PlannedRequest,
    private readonly host: HostId,
    private readonly clock: Clock,
  ) {
    this.at = clock.now();
  }

  /**
   * Takes in one event of a completion.
   *
   * @param event - The event.
   * @returns How the send ended, if this event ends it.
   */
  event(event: CompletionEvent): SendOutcome | undefined {
    switch (event.type) {
      case 'token':
        this.firstTokenAt ??= this.clock.now();
        this.lastTokenAt = this.clock.now();
        this.texts.push(event.text);
        this.positions.push(event.position);
        return undefined;
      case 'done':
        this.answers += 1;
        this.checkText();
        return { type: 'whole' };
      case 'refused':
        return { type: 'refused', refusal: event.refusal };
      default:
        return event satisfies never;
    }
  }

  /** Takes in a whole answer of a plain service. */
  reply(reply: ServiceResponse, body: string): SendOutcome {
    this.answers += 1;
    this.firstTokenAt = this.clock.now();
    this.lastTokenAt = this.clock.now();
    const shown = JSON.parse(Buffer.from(reply.body).toString('utf8')) as {
      readonly bodyDigest?: string;
    };
    if (shown.bodyDigest !== sha256Hex(body)) this.wrong = 'the answer is to another call';
    return { type: 'whole' };
  }

  /** Gets what became of the send. */
  finish(outcome: SendOutcome): Send {
    return {
      host: this.host,
      at: this.at,
      endedAt: this.clock.now(),
      firstTokenAt: this.firstTokenAt,
      lastTokenAt: this.lastTokenAt,
      text: this.texts.join(''),
      positions: this.positions,
      answers: this.answers,
      wrong: this.wrong,
      outcome,
    };
  }

  private checkText(): void {
    const text = this.texts.join('');
    const { expectedText } = this.request;
    if (text !== expectedText) {
      this.wrong = `got ${text.length} characters, expected ${expectedText.length} of its own`;
    }
  }
}
