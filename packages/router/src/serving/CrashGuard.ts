import type {
  AnswerOrigin,
  Clock,
  HostId,
  Millis,
  Refusal,
  RequestId,
  UpstreamId,
} from '@camphorvane/core';
import { runInBackground, sha256Hex } from '@camphorvane/core';
import { CrashSuspects, isSharedDigest } from '@camphorvane/decisions';
import type {
  CrashAdmission,
  CrashReport,
  CrashSuspectsOptions,
  ExcusedTrait,
  ReportAudience,
  ReportOrigin,
  SuspectRequest,
  SuspicionReports,
  TrialEnd,
} from '@camphorvane/decisions';
import type { PeerAddress, PeerLink } from '@camphorvane/peer';
import type { UpstreamError } from '@camphorvane/upstream';
import { mayHaveCrashed } from '@camphorvane/upstream';
import type { GroupGate } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { RequestGuard } from './RequestGuard.ts';
import { suspectRefusal } from './suspectRefusal.ts';

/** Milliseconds to wait for a peer to acknowledge a crash report. */
const REPORT_TIMEOUT_MS: Millis = 1_000;

/** Characters of a digest in the log; the digests of a day's requests differ in them. */
const LOGGED_DIGEST_LENGTH = 16;

/** Crashes from which on those of a shared trait are logged: each crash has all traits of what ran there. */
const MIN_LOGGED_CRASHES = 2;

/** Milliseconds between two updates of the gauge, each of which judges all traits with several crashes. */
const GAUGE_INTERVAL_MS: Millis = 1_000;

/** Milliseconds between two lines about requests that are let through although a trait of theirs is suspected. */
const EXCUSED_INTERVAL_MS: Millis = 200;

const log = eventLog('crashes');

/** Options of a `CrashGuard`. */
export interface CrashGuardOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  readonly metrics: Metrics;
  /** Sends crash reports to the other hosts; absent where hosts have no peer link. */
  readonly link?: PeerLink;
  /** When a request is quarantined; defaults apply to limits that are not given. */
  readonly suspicion?: Partial<CrashSuspectsOptions>;
  /** Gets when the process that an upstream runs was started, where the upstream tells. */
  readonly getStartTime?: (upstream: UpstreamId) => Millis | undefined;
}

/** A request whose crashes are counted. */
export interface GuardedRequest {
  readonly id: RequestId;
  /** Digest of the request's content; see {@link CrashGuard.digestOf}. */
  readonly digest: string;
  /** Digests of what the request shares with others; see {@link sharedTraitsOf}. */
  readonly shared?: readonly string[];
  /** When its last attempt began; undefined before the first one. */
  readonly sentAt?: Millis;
}

/**
 * Keeps requests that crash upstreams away from them, and those that have in common with them what does so.
 *
 * Crashes are reported to all hosts of the group, so that a retry through another host is refused too.
 */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly suspects: CrashSuspects;

  private readonly listeners: ((isSuspect: boolean) => void)[] = [];

  private readonly newsListeners: (() => void)[] = [];

  private gaugeUpdatedAt: Millis = -Infinity;

  private excusedLoggedAt: Millis = -Infinity;

  /** @param options - Identity, clock, peers and limits. */
  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.suspects = new CrashSuspects({ startedAt: options.clock.now(), ...options.suspicion });
  }

  /**
   * Gets a digest of a request's content, which stays the same when its caller retries it.
   *
   * @param parts - The parts of the request, such as model and prompt.
   * @returns The digest.
   */
  static digestOf(...parts: readonly string[]): string {
    return sha256Hex(JSON.stringify(parts));
  }

  /** Records that a caller has sent a request, before anything is decided about it. */
  recordArrival(request: GuardedRequest): void {
    this.suspects.recordArrival(toSuspect(request).traits, this.options.clock.now());
  }

  /**
   * Gets the refusal of a quarantined request.
   *
   * @param request - The request.
   * @returns The refusal, or undefined where the request may run.
   */
  refusalFor(request: GuardedRequest): Refusal | undefined {
    const admission = this.admit(request);
    if (admission.type !== 'blocked') return undefined;
    this.options.metrics.count('crashes.blocked');
    const { trait, crashes, isShared } = admission;
    const retryAfterMs = Math.round(admission.retryAfterMs);
    const { id, digest } = request;
    log('request_blocked', { id, digest: shorten(digest), trait, crashes, retryAfterMs });
    return suspectRefusal(isShared, admission.retryAfterMs);
  }

  /**
   * Records a failed attempt, and reports it to the group if the upstream seems to have crashed.
   *
   * @param request - The request.
   * @param upstream - The upstream that ran it.
   * @param error - The error; see `mayHaveCrashed`.
   */
  recordFailure(request: GuardedRequest, upstream: UpstreamId, error: UpstreamError): void {
    if (!mayHaveCrashed(error) || this.wasGone(upstream, request)) return;
    const process = this.processOf(upstream);
    const { traits } = toSuspect(request);
    const crashes = traits.map((digest): CrashReport => ({ digest, upstream: process, ageMs: 0 }));
    crashes.forEach((report) => this.record(report, 'own', request));
    this.endTrial(request, { state: 'failed', upstream: process });
    const trials = this.suspects.getTrialReports(this.options.clock.now());
    this.reportToGroup({ crashes, answers: [], survivals: [], trials });
    const isSuspect = traits.some((digest) =>
      this.suspects.isSuspect(digest, this.options.clock.now()),
    );
    this.updateGauge();
    this.listeners.forEach((recorded) => recorded(isSuspect));
  }

  /** Gets the guard of one request, for its further attempts: those are optional, and don't wait for certainty. */
  guardFor(request: GuardedRequest): RequestGuard {
    return {
      recordFailure: (upstream, error) => this.recordFailure(request, upstream, error),
      isBlocked: () => this.admit(request, 0).type === 'blocked',
    };
  }

  /** Clears a request that got a complete answer, and what it shares with others. */
  recordSuccess(request: GuardedRequest): void {
    const now = this.options.clock.now();
    const reported = toSuspect(request).traits.filter((digest) =>
      this.suspects.recordAnswer(digest, now),
    );
    this.endTrial(request, { state: 'ended' });
    if (reported.length === 0) return;
    this.updateGauge();
    const answers = reported.map((digest) => ({ digest, ageMs: 0 }));
    this.reportToGroup({ crashes: [], answers, survivals: [] });
    this.newsListeners.forEach((changed) => changed());
  }

  /** Ends the trial of a request that has ended in another way than by an answer or a crash. */
  recordEnd(request: Pick<GuardedRequest, 'id'>): void {
    this.endTrial(request, { state: 'ended' });
  }

  /** Tells a host that has joined the group of the requests that were running at several crashes. */
  informPeer(peer: PeerAddress): void {
    const reports = this.getReports('relayed');
    if (reports.crashes.length > 0) this.sendReports(peer, reports);
  }

  /**
   * Records an answer of an upstream to any request: a process that answers has not crashed a moment ago.
   *
   * @param upstream - The upstream that was asked.
   * @param origin - What the answer tells of the process that gave it.
   */
  recordSignOfLife(upstream: UpstreamId, origin: AnswerOrigin): void {
    const server =
      origin.type === 'process'
        ? processName(upstream, origin.startedAt)
        : this.processOf(upstream);
    const by = this.suspects.recordSignOfLife(server, this.options.clock.now(), origin);
    if (by === undefined) return;
    this.options.metrics.count('crashes.withdrawn');
    log('crash_withdrawn', { server, by });
  }

  /** Records crashes that other hosts reported. */
  receiveCrashes(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.record(report, 'peer'));
    if (reports.length > 0) this.updateGauge();
  }

  /** Records what other hosts reported. */
  receive({ crashes, answers, survivals, trials = [] }: SuspicionReports): void {
    const now = this.options.clock.now();
    survivals.forEach((report) => this.suspects.receiveSurvival(report, now));
    this.receiveCrashes(crashes);
    answers.forEach(({ digest, ageMs }) => this.suspects.recordAnswer(digest, now, ageMs));
    trials.forEach((report) => this.suspects.receiveTrial(report, now));
    if (answers.length > 0) this.updateGauge();
  }

  /** Records crashes that this host had stored; it goes on storing them. */
  receiveStored(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.record(report, 'stored'));
  }

  /** Gets what to report to other hosts. */
  getReports(audience: ReportAudience): SuspicionReports {
    return this.suspects.getReports(this.options.clock.now(), audience);
  }

  /** Gets the crashes of traits to be quarantined, to be kept for hosts that start. */
  getQuarantine(): readonly CrashReport[] {
    return this.suspects.getSuspectReports(this.options.clock.now());
  }

  /** Registers a listener for each crash that this host detects, told whether its request is to be quarantined. */
  onCrash(listener: (isSuspect: boolean) => void): void {
    this.listeners.push(listener);
  }

  /** Registers a listener for what peers should soon hear: an answer that clears a trait, or a trial. */
  onNews(listener: () => void): void {
    this.newsListeners.push(listener);
  }

  /** Gets the numbers of traits that are kept and that are suspected, for the state dump. */
  dump(): object {
    const { requests, shared } = this.suspects.countSuspects(this.options.clock.now());
    return { suspected: this.suspects.size, requests, shared };
  }

  private admit(request: GuardedRequest, minAgeMs?: Millis): CrashAdmission {
    const now = this.options.clock.now();
    const admission = this.suspects.admit(toSuspect(request), now, minAgeMs);
    if (admission.type === 'clear' && admission.excused !== undefined) {
      this.recordExcused(request, admission.excused);
    }
    if (admission.type !== 'trial' || !admission.isNew) return admission;
    const { id, digest } = request;
    this.options.metrics.count('crashes.tried');
    log('trial_started', { id, digest: shorten(digest), traits: admission.traits.join() });
    this.reportToGroup({
      ...{ crashes: [], answers: [], survivals: [] },
      trials: this.suspects.getTrialReports(now),
    });
    this.newsListeners.forEach((changed) => changed());
    return admission;
  }

  /** Records that a request is let through although a trait of it is suspected. */
  private recordExcused({ id }: GuardedRequest, { trait, crashes }: ExcusedTrait): void {
    const now = this.options.clock.now();
    this.options.metrics.count('crashes.excused');
    if (now - this.excusedLoggedAt < EXCUSED_INTERVAL_MS) return;
    this.excusedLoggedAt = now;
    log('trait_excused', { id, trait, crashes });
  }

  private endTrial({ id }: Pick<GuardedRequest, 'id'>, end: TrialEnd): void {
    if (!this.suspects.endTrial(id, end, this.options.clock.now())) return;
    log('trial_ended', { id, hasFailed: end.state === 'failed' });
    this.newsListeners.forEach((changed) => changed());
  }

  /** Tells whether the process of an upstream had crashed before a request was sent to it, which has met nobody there. */
  private wasGone(upstream: UpstreamId, { sentAt }: GuardedRequest): boolean {
    const startedAt = this.options.getStartTime?.(upstream);
    if (startedAt === undefined || sentAt === undefined) return false;
    return this.suspects.wasGone(processName(upstream, startedAt), sentAt);
  }

  /** Names the process that runs as an upstream. */
  private processOf(upstream: UpstreamId): string {
    const startedAt = this.options.getStartTime?.(upstream);
    return startedAt === undefined ? upstream : processName(upstream, startedAt);
  }

  private record(report: CrashReport, from: ReportOrigin, request?: GuardedRequest): void {
    const { clock, metrics } = this.options;
    const { digest, upstream: server } = report;
    if (!this.suspects.recordCrash(report, clock.now(), from)) return;
    const crashes = this.suspects.countCrashes(digest, clock.now());
    const isShared = isSharedDigest(digest);
    if (isShared && crashes < MIN_LOGGED_CRASHES) return;
    if (!isShared) metrics.count('crashes.recorded', { from });
    const ageMs = Math.round(report.ageMs);
    const { id, shared } = request ?? {};
    const owner = isShared ? { id } : { id, shared: shared?.join() };
    log('crash_recorded', { ...owner, digest: shorten(digest), server, from, ageMs, crashes });
  }

  private updateGauge(): void {
    const { clock, metrics } = this.options;
    if (clock.now() - this.gaugeUpdatedAt < GAUGE_INTERVAL_MS) return;
    this.gaugeUpdatedAt = clock.now();
    const { requests, shared } = this.suspects.countSuspects(clock.now());
    metrics.gauge('crashes.suspects', requests, { kind: 'request' });
    metrics.gauge('crashes.suspects', shared, { kind: 'shared' });
  }

  private reportToGroup(reports: SuspicionReports): void {
    const { group, self } = this.options;
    group
      .members()
      .filter((member) => member.host !== self)
      .forEach(({ host, peerAddress: address }) => this.sendReports({ host, address }, reports));
  }

  private sendReports(peer: PeerAddress, { crashes, ...others }: SuspicionReports): void {
    const reports = crashes.filter(({ digest }) => !isSharedDigest(digest));
    const shared = {
      ...others,
      crashes: crashes.filter(({ digest }) => isSharedDigest(digest)),
    };
    runInBackground('crashes.report', () =>
      this.options.link?.ask(peer, { type: 'crashes', reports, shared }, REPORT_TIMEOUT_MS),
    );
  }
}

function toSuspect({ id, digest, shared = [] }: GuardedRequest): SuspectRequest {
  return { id, traits: [digest, ...shared] };
}

function processName(upstream: UpstreamId, startedAt: Millis): string {
  return `${upstream}@${startedAt}`;
}

function shorten(digest: string): string {
  return digest.slice(0, LOGGED_DIGEST_LENGTH);
}
