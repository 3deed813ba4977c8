import type { Clock, Millis, RequestId, UpstreamId } from '@camphorvane/core';
import type { RelocationReason, StreamMove } from '@camphorvane/decisions';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';

const log = eventLog('relocation');

/** A move, or the switch to a backup after the engine was lost. */
export interface RelocationSubject {
  readonly id: RequestId;
  readonly from: UpstreamId;
  readonly to: UpstreamId;
  readonly reason: RelocationReason | 'lost';
  /** Position of the next event. */
  readonly position: number;
}

/** Logs the steps of one move with their times, and counts its outcome. */
export class RelocationRecord {
  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly subject: RelocationSubject;

  private readonly startedAt: Millis;

  private stoppingAt: Millis | undefined;

  private resumingAt: Millis | undefined;

  /**
   * @param deps - Clock and metrics of the host.
   * @param subject - What moves.
   */
  constructor(
    deps: { readonly clock: Clock; readonly metrics: Metrics },
    subject: RelocationSubject,
  ) {
    this.clock = deps.clock;
    this.metrics = deps.metrics;
    this.subject = subject;
    this.startedAt = deps.clock.now();
  }

  /** Records that the move starts. */
  begin(): void {
    const { id, from, to, reason, position } = this.subject;
    log(this.isBackup() ? 'stream_backup_used' : 'stream_moving', {
      id,
      from,
      to,
      reason,
      position,
    });
  }

  /** Records a step of the move. */
  enter(move: StreamMove): void {
    const now = this.clock.now();
    switch (move.step) {
      case 'copying':
        break;
      case 'stopping':
        this.stoppingAt = now;
        break;
      case 'resuming':
        this.resumingAt ??= now;
        break;
      case 'moved':
        this.recordMoved(now);
        break;
      case 'failed':
        this.recordFailure(move, now);
        break;
      default:
        move satisfies never;
    }
  }

  private recordMoved(now: Millis): void {
    this.count('moved');
    this.metrics.timing('stream.move', now - this.startedAt, { reason: this.subject.reason });
    log(this.isBackup() ? 'stream_backup_resumed' : 'stream_moved', this.fields(now));
  }

  private recordFailure(
    { failedStep: step, failure, isAlive }: Extract<StreamMove, { readonly step: 'failed' }>,
    now: Millis,
  ): void {
    this.count(failure);
    const event = this.isBackup() ? 'stream_backup_failed' : 'stream_move_failed';
    log(event, { ...this.fields(now), step, failure, alive: isAlive });
  }

  private count(outcome: string): void {
    const { reason } = this.subject;
    if (this.isBackup()) this.metrics.count('stream.backups', { outcome });
    else this.metrics.count('stream.moves', { reason, outcome });
  }

  private fields(now: Millis): Readonly<Record<string, string | number | undefined>> {
    const { id, from, to, reason } = this.subject;
    const stoppedAt = this.stoppingAt ?? this.resumingAt ?? now;
    return {
      ...{ id, from, to, reason },
      copyMs: Math.round(stoppedAt - this.startedAt),
      stopMs: Math.round((this.resumingAt ?? now) - stoppedAt),
      resumeMs: Math.round(now - (this.resumingAt ?? now)),
      tookMs: Math.round(now - this.startedAt),
    };
  }

  private isBackup(): boolean {
    return this.subject.reason === 'lost';
  }
}
