import type { HostId, Millis } from '@camphorvane/core';
import { reportFault, runInBackground } from '@camphorvane/core';
import { parseWelcome, type MemberEffect, type Welcome } from '@camphorvane/group';
import type { PeerLink } from '../PeerLink.ts';

/** A heartbeat to one peer. */
export type HeartbeatEffect = Extract<MemberEffect, { type: 'ask' }>;

/** Called with a peer's answer to a heartbeat. */
export type AnswerListener = (ask: HeartbeatEffect, message: Welcome) => void;

/**
 * Sends heartbeats to one peer, with at most one in flight.
 *
 * Heartbeats must not pile up for a hanging peer: while one is in flight only the newest is queued.
 * It keeps its original send time, so that queueing never extends the lease that its answer grants.
 */
export class HeartbeatTask {
  private queued?: HeartbeatEffect;

  private running = false;

  private readonly link: PeerLink;

  private readonly timeoutMs: Millis;

  private readonly onAnswer: AnswerListener;

  private sent = 0;

  private unanswered = 0;

  /**
   * @param link - Link to the peer.
   * @param timeoutMs - Milliseconds after which a heartbeat counts as unanswered.
   * @param onAnswer - Called with each answer.
   */
  constructor(link: PeerLink, timeoutMs: Millis, onAnswer: AnswerListener) {
    this.link = link;
    this.timeoutMs = timeoutMs;
    this.onAnswer = onAnswer;
  }

  /** Gets the number of heartbeats sent, and of those that had no valid answer. */
  get counts(): { readonly sent: number; readonly unanswered: number } {
    return { sent: this.sent, unanswered: this.unanswered };
  }

  /** Sends a heartbeat, or queues it until the one in flight has ended. */
  send(ask: HeartbeatEffect): void {
    this.queued = ask;
    if (!this.running) runInBackground('group.heartbeat', () => this.run());
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queued !== undefined) {
      const ask = this.queued;
      this.queued = undefined;
      await this.ask(ask).catch((thrown: unknown) => reportFault('group.heartbeat', thrown));
    }
    this.running = false;
  }

  private async ask(ask: HeartbeatEffect): Promise<void> {
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
