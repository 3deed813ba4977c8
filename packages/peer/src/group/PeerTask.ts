import type { HostId, Millis } from '@camphorvane/core';
import { parseWelcome, type MemberEffect, type Welcome } from '@camphorvane/group';
import type { PeerLink } from '../PeerLink.ts';

/** A greeting to one peer. */
export type AskEffect = Extract<MemberEffect, { type: 'ask' }>;

/** Told what a peer answered to a greeting. */
export type AnswerListener = (ask: AskEffect, message: Welcome) => void;

/**
 * The task that greets one peer, one greeting at a time.
 *
 * A peer that hangs must not pile up greetings: while one is under way only the newest waits, and
 * it keeps the time at which it was meant to go, so that waiting never lengthens a vouch.
 */
export class PeerTask {
  private waiting?: AskEffect;

  private running = false;

  private readonly link: PeerLink;

  private readonly timeoutMs: Millis;

  private readonly onAnswer: AnswerListener;

  private sent = 0;

  private unanswered = 0;

  /**
   * @param link - Reaches the peer.
   * @param timeoutMs - Milliseconds after which a greeting counts as unanswered.
   * @param onAnswer - Told each answer.
   */
  constructor(link: PeerLink, timeoutMs: Millis, onAnswer: AnswerListener) {
    this.link = link;
    this.timeoutMs = timeoutMs;
    this.onAnswer = onAnswer;
  }

  /** Gets how many greetings went out and how many of them had no answer. */
  get counts(): { readonly sent: number; readonly unanswered: number } {
    return { sent: this.sent, unanswered: this.unanswered };
  }

  /** Greets the peer as soon as the greeting before has ended. */
  send(ask: AskEffect): void {
    this.waiting = ask;
    if (!this.running) void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.waiting !== undefined) {
      const ask = this.waiting;
      this.waiting = undefined;
      await this.ask(ask);
    }
    this.running = false;
  }

  private async ask(ask: AskEffect): Promise<void> {
    const host: HostId = ask.to.host;
    const to = { host, address: ask.to.peerAddress };
    this.sent += 1;
    const res = await this.link.ask(
      to,
      { type: 'membership', message: ask.message },
      this.timeoutMs,
    );
    const answer = res.isOk() && res.value.type === 'membership' ? res.value.message : undefined;
    parseWelcome(answer).match(
      (message) => this.onAnswer(ask, message),
      () => {
        this.unanswered += 1;
      },
    );
  }
}
