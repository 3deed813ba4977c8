import type { AnswerOrigin, Clock, UpstreamId, UpstreamSignals } from '@camphorvane/core';
import type { ConstraintChange, UpstreamConstraints, UpstreamReport } from '@camphorvane/decisions';
import type { ResponseBound } from '@camphorvane/upstream';
import { eventLog } from '../observe/EventLog.ts';
import type { UpstreamCallKind, UpstreamWatch } from './ports.ts';
import type { Metrics } from '../observe/Metrics.ts';

const log = eventLog('upstreams');

/** Records what upstreams ask for, in answers to this host and in reports of its peers. */
export class UpstreamSignalRecorder implements UpstreamWatch {
  readonly constraints: UpstreamConstraints;

  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly listeners: (() => void)[] = [];

  private readonly answerListeners: ((upstream: UpstreamId, origin: AnswerOrigin) => void)[] = [];

  /**
   * @param constraints - Decides by what is recorded.
   * @param clock - Times the answers.
   * @param metrics - Counts the changes.
   */
  constructor(constraints: UpstreamConstraints, clock: Clock, metrics: Metrics) {
    this.constraints = constraints;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Registers a listener for each change of what an upstream asks for. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Registers a listener for each answer of an upstream that tells what process gave it. */
  onAnswer(listener: (upstream: UpstreamId, origin: AnswerOrigin) => void): void {
    this.answerListeners.push(listener);
  }

  /** Records the signals of an answer. */
  record(upstream: UpstreamId, signals: UpstreamSignals): void {
    const { origin } = signals;
    if (origin !== undefined)
      this.answerListeners.forEach((answered) => answered(upstream, origin));
    this.apply(this.constraints.record(upstream, signals, this.clock.now()));
  }

  /** Records what peers report. */
  receive(reports: readonly UpstreamReport[]): void {
    this.apply(this.constraints.receive(reports, this.clock.now()));
  }

  /** {@inheritDoc UpstreamWatch.isResting} */
  isResting(upstream: UpstreamId): boolean {
    return this.constraints.isResting(upstream, this.clock.now());
  }

  /** {@inheritDoc UpstreamWatch.recordControlCall} */
  recordControlCall(upstream: UpstreamId): void {
    this.constraints.recordRequest(upstream, this.clock.now());
  }

  /** {@inheritDoc UpstreamWatch.recordWithheld} */
  recordWithheld(upstream: UpstreamId): void {
    this.metrics.count('upstream.withheld');
    const restMs = Math.round(this.constraints.getRestMs(upstream, this.clock.now()));
    log('withheld', { server: upstream, restMs });
  }

  /** {@inheritDoc UpstreamWatch.recordOverrun} */
  recordOverrun(upstream: UpstreamId, call: UpstreamCallKind, bound: ResponseBound): void {
    this.metrics.count('upstream.overrun', { call, bound });
    log('overrun', { server: upstream, call, bound });
  }

  private apply(changes: readonly ConstraintChange[]): void {
    if (changes.length === 0) return;
    changes.forEach((change) => this.logChange(change));
    this.listeners.forEach((changed) => changed());
  }

  private logChange(change: ConstraintChange): void {
    const { type, upstream, ageMs, from } = change;
    this.metrics.count('upstream.signal', { signal: type, from });
    log(type, { server: upstream, value: valueOf(change), ageMs: Math.round(ageMs), from });
  }
}

/** Gets what the upstream asks for: requests a second, or milliseconds of rest. */
function valueOf(change: ConstraintChange): number | undefined {
  switch (change.type) {
    case 'limit_named':
      return change.requestsPerSecond;
    case 'rest':
      return Math.round(change.restMs);
    case 'limit_ended':
    case 'leaving':
      return undefined;
    default:
      return change satisfies never;
  }
}
