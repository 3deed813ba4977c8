import type { Clock, Millis } from '@camphorvane/core';
import { reportFault, runInBackground } from '@camphorvane/core';
import type { ShareReply, ShareSync } from '@camphorvane/group';
import type { PeerLink } from '../PeerLink.ts';
import type { ShareMember } from './ShareAuthority.ts';

/** Timeout of a sync with a coordinator. */
const SYNC_TIMEOUT_MS: Millis = 400;

/** Options of a {@link CoordinatorSyncTask}. */
export interface CoordinatorSyncTaskOptions {
  readonly member: ShareMember;
  readonly clock: Clock;
  readonly link: PeerLink;
  /** Builds the next sync message. */
  readonly message: () => ShareSync;
  /** Answers the message where this host is the coordinator; undefined where another host is. */
  readonly answerLocally: (
    message: ShareSync,
  ) => { readonly reply: ShareReply | undefined } | undefined;
  readonly onReply: (reply: ShareReply) => void;
  readonly onFailure: () => void;
}

/**
 * Syncs with one coordinator, with at most one message in flight.
 *
 * Calls made during a sync share the next one, so that a slow coordinator gets one message at a
 * time however many requests wait for it.
 */
export class CoordinatorSyncTask {
  private readonly options: CoordinatorSyncTaskOptions;

  private running: Promise<void> | undefined;

  private next: Promise<void> | undefined;

  constructor(options: CoordinatorSyncTaskOptions) {
    this.options = options;
  }

  /**
   * Sends a report and applies the reply.
   *
   * @returns A promise that resolves when a sync that started after this call has ended, whether it
   *   was answered or timed out.
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

  /** Starts a sync that nobody waits for. */
  start(): void {
    runInBackground('shares.sync', () => this.sync());
  }

  private async exchange(): Promise<void> {
    // Yields once, so that `running` is set before this method can finish.
    await Promise.resolve();
    // One that throws counts as unanswered, so that the next one can start.
    const reply = await this.getReply().catch((thrown: unknown): undefined => {
      reportFault('shares.sync', thrown);
    });
    if (this.next === undefined) this.running = undefined;
    if (reply === undefined) this.options.onFailure();
    else this.options.onReply(reply);
  }

  private async getReply(): Promise<ShareReply | undefined> {
    const message = this.options.message();
    const local = this.options.answerLocally(message);
    return local === undefined ? this.ask(message) : local.reply;
  }

  private async ask(message: ShareSync): Promise<ShareReply | undefined> {
    const { link, member } = this.options;
    const req = { type: 'share_sync', message } as const;
    const res = await link.ask(member.address, req, SYNC_TIMEOUT_MS);
    return res.isOk() && res.value.type === 'share_reply' ? res.value.message : undefined;
  }
}
