import type { Clock, Millis } from '@camphorvane/core';
import type { ShareReply, ShareSync } from '@camphorvane/group';
import type { PeerLink } from '../PeerLink.ts';
import type { ShareMember } from './ShareAuthority.ts';

/** After how long a message to a steward counts as lost. */
const SYNC_TIMEOUT_MS: Millis = 400;

/** What a {@link StewardTask} needs. */
export interface StewardTaskOptions {
  readonly member: ShareMember;
  readonly clock: Clock;
  readonly link: PeerLink;
  /** Makes the next message. */
  readonly message: () => ShareSync;
  /** Answers where this host itself is the steward; undefined where another is. */
  readonly answerLocally: (
    message: ShareSync,
  ) => { readonly reply: ShareReply | undefined } | undefined;
  readonly onReply: (reply: ShareReply) => void;
  readonly onFailure: () => void;
}

/**
 * The task that reports to one steward, one message at a time.
 *
 * Whoever asks for a report while one is under way shares the next one: a steward that is slow then
 * gets one message at a time, however many requests wait for it.
 */
export class StewardTask {
  private readonly options: StewardTaskOptions;

  private running: Promise<void> | undefined;

  private next: Promise<void> | undefined;

  constructor(options: StewardTaskOptions) {
    this.options = options;
  }

  /**
   * Reports, and takes the answer.
   *
   * @returns A promise that resolves when a report made after this call was answered or lost.
   */
  sync(): Promise<void> {
    if (this.running === undefined) {
      this.running = this.exchange();
      return this.running;
    }
    this.next ??= this.running.then(() => {
      this.next = undefined;
      this.running = this.exchange();
      return this.running;
    });
    return this.next;
  }

  private async exchange(): Promise<void> {
    // `running` must be set before anything here can end.
    await Promise.resolve();
    const message = this.options.message();
    const local = this.options.answerLocally(message);
    const reply = local === undefined ? await this.ask(message) : local.reply;
    if (this.next === undefined) this.running = undefined;
    if (reply === undefined) this.options.onFailure();
    else this.options.onReply(reply);
  }

  private async ask(message: ShareSync): Promise<ShareReply | undefined> {
    const { link, member } = this.options;
    const req = { type: 'share_sync', message } as const;
    const res = await link.ask(member.address, req, SYNC_TIMEOUT_MS);
    return res.isOk() && res.value.type === 'share_reply' ? res.value.message : undefined;
  }
}
