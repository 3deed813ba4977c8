import type { AnswerFault } from '@camphorvane/caller';
import type { Clock, HostId, Millis, Refusal, RequestId } from '@camphorvane/core';
import type { Metrics } from '../observe/Metrics.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { AnswerSummary } from './AnswerRecord.ts';
import type { RoutedCall } from './routedCall.ts';
import type { StreamTimer } from './StreamTimer.ts';

const log = eventLog('request');

/** Logs and counts how forwarded requests, and their answers, end. */
export class RequestLog {
  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly getVersion: () => number;

  /**
   * @param clock - Measures how long requests took, in milliseconds.
   * @param metrics - Counts ends.
   * @param getVersion - Gets the version of the configuration in force.
   */
  constructor(clock: Clock, metrics: Metrics, getVersion: () => number) {
    this.clock = clock;
    this.metrics = metrics;
    this.getVersion = getVersion;
  }

  /** Counts an accepted request, and what it waited before, in milliseconds. */
  recordAccepted(waitedMs: Millis): void {
    this.metrics.count('request.accepted');
    this.metrics.timing('request.waited', waitedMs);
  }

  /** Records a whole answer. */
  recordDone({ id, route, service }: RoutedCall, timer: StreamTimer, startedAt: Millis): void {
    const { kind } = route;
    const tookMs = this.since(startedAt);
    const times = timer.getTimings();
    const firstMs = Math.round(times.firstMs ?? tookMs);
    const pauseMs = Math.round(times.longestPauseMs);
    this.metrics.count('request.whole', { kind });
    this.metrics.timing('request.whole', tookMs, { kind });
    if (kind === 'stream') this.metrics.timing('request.pause', pauseMs, { kind });
    log('whole', {
      ...{ id, route: route.name, service },
      ...{ tookMs, firstMs, pauseMs, events: times.events },
    });
  }

  /** Records a refusal, also of an answer that has begun. */
  recordRefusal(id: RequestId, refusal: Refusal, startedAt: Millis): void {
    const { code, execution, retryAfterMs } = refusal;
    this.metrics.count('request.refused', { code });
    const tookMs = this.since(startedAt);
    log('refused', { id, code, execution, retryAfterMs, tookMs, version: this.getVersion() });
  }

  /** Records an event that could not follow in an answer, or events without an end. */
  recordIllegal(id: RequestId, fault: AnswerFault): void {
    this.metrics.count('answer.illegal', { fault });
    log('answer_illegal', { id, fault });
  }

  /** Records how an answer ended; `relayedBy` is the host for which it was served. */
  recordAnswerEnd(
    { id }: RoutedCall,
    summary: AnswerSummary,
    startedAt: Millis,
    relayedBy: HostId | undefined,
  ): void {
    const { end, cause = 'none' } = summary;
    this.metrics.count('answer.ended', { end, cause });
    log('answer_ended', { id, ...summary, relayedBy, tookMs: this.since(startedAt) });
  }

  /** Records that the caller left before the end of its answer. */
  recordCallerLeft({ id, route }: RoutedCall, startedAt: Millis): void {
    this.metrics.count('request.left', { stage: 'served' });
    log('caller_left', { id, route: route.name, tookMs: this.since(startedAt) });
  }

  private since(startedAt: Millis): Millis {
    return Math.round(this.clock.now() - startedAt);
  }
}
