import type { Clock, HostId, Millis, Refusal, RequestId, UpstreamId } from '@camphorvane/core';
import { notRun, sha256Hex } from '@camphorvane/core';
import { CrashSuspects } from '@camphorvane/decisions';
import type {
  CrashReport,
  CrashSuspectsOptions,
  ReportAudience,
  ReportOrigin,
  SuspicionReports,
} from '@camphorvane/decisions';
import type { PeerAddress, PeerLink } from '@camphorvane/peer';
import type { UpstreamError } from '@camphorvane/upstream';
import { mayHaveCrashed } from '@camphorvane/upstream';
import type { GroupGate } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { RequestGuard } from './RequestGuard.ts';

/** Milliseconds to wait for a peer to acknowledge a crash report. */
const REPORT_TIMEOUT_MS: Millis = 1_000;

/** Characters of a digest in the log; the digests of a day's requests differ in them. */
const LOGGED_DIGEST_LENGTH = 16;

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
}

/**
 * Quarantines requests that crash the upstreams which run them.
 *
 * Crashes are reported to all hosts of the group, so that a retry through another host is refused too.
 */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly suspects: CrashSuspects;

  private readonly listeners: ((isSuspect: boolean) => void)[] = [];

  /** @param options - Identity, clock, peers and limits. */
  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.suspects = new CrashSuspects(options.suspicion);
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

  /**
   * Gets the refusal of a quarantined request.
   *
   * @param request - The request.
   * @returns The refusal, or undefined where the request may run.
   */
  refusalFor({ id, digest }: GuardedRequest): Refusal | undefined {
    const now = this.options.clock.now();
    const quarantineMs = this.suspects.getBlockedMs(digest, now);
    if (quarantineMs === undefined) return undefined;
    this.options.metrics.count('crashes.blocked');
    const crashes = this.suspects.countCrashes(digest, now);
    const retryAfterMs = Math.round(quarantineMs);
    log('request_blocked', { id, digest: shorten(digest), crashes, retryAfterMs });
    const text = 'Several upstreams crashed while running this request; it is quarantined for now.';
    return notRun('suspected_crasher', text, quarantineMs);
  }

  /**
   * Records a failed attempt, and reports it to the group if the upstream seems to have crashed.
   *
   * @param request - The request.
   * @param upstream - The upstream that ran it.
   * @param error - The error; see `mayHaveCrashed`.
   */
  recordFailure(request: GuardedRequest, upstream: UpstreamId, error: UpstreamError): void {
    if (!mayHaveCrashed(error)) return;
    const process = this.processOf(upstream);
    const report: CrashReport = { digest: request.digest, upstream: process, ageMs: 0 };
    this.record(report, 'own', request);
    this.reportToGroup([report]);
    const isSuspect = this.guardFor(request).isBlocked();
    this.listeners.forEach((recorded) => recorded(isSuspect));
  }

  /** Gets the guard of one request, for its further attempts: those are optional, and don't wait for certainty. */
  guardFor(request: GuardedRequest): RequestGuard {
    return {
      recordFailure: (upstream, error) => this.recordFailure(request, upstream, error),
      isBlocked: () => this.suspects.isSuspect(request.digest, this.options.clock.now()),
    };
  }

  /** Clears a request that got a complete answer. */
  recordSuccess(digest: string): void {
    this.suspects.recordAnswer(digest, this.options.clock.now());
  }

  /** Tells a host that has joined the group of the requests that were running at several crashes. */
  informPeer(peer: PeerAddress): void {
    const { crashes } = this.getReports('relayed');
    if (crashes.length > 0) this.sendReports(peer, crashes);
  }

  /** Records an answer of an upstream to any request: one that answers has not crashed a moment ago. */
  recordSignOfLife(upstream: UpstreamId): void {
    if (!this.suspects.recordSignOfLife(this.processOf(upstream), this.options.clock.now())) return;
    this.options.metrics.count('crashes.withdrawn');
    log('crash_withdrawn', { server: upstream });
  }

  /** Records crashes that other hosts reported. */
  receiveCrashes(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.record(report, 'peer'));
  }

  /** Records what other hosts reported. */
  receive({ crashes, answers, survivals }: SuspicionReports): void {
    const now = this.options.clock.now();
    survivals.forEach((report) => this.suspects.receiveSurvival(report, now));
    this.receiveCrashes(crashes);
    answers.forEach(({ digest, ageMs }) => this.suspects.recordAnswer(digest, now, ageMs));
  }

  /** Records crashes that this host had stored; it goes on storing them. */
  receiveStored(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.record(report, 'stored'));
  }

  /** Gets what to report to other hosts. */
  getReports(audience: ReportAudience): SuspicionReports {
    return this.suspects.getReports(this.options.clock.now(), audience);
  }

  /** Gets the crashes of requests to be quarantined, to be kept for hosts that start. */
  getQuarantine(): readonly CrashReport[] {
    return this.suspects.getSuspectReports(this.options.clock.now());
  }

  /** Registers a listener for each crash that this host detects, told whether its request is to be quarantined. */
  onCrash(listener: (isSuspect: boolean) => void): void {
    this.listeners.push(listener);
  }

  /** Gets the number of suspected requests, for the state dump. */
  dump(): object {
    return { suspected: this.suspects.size };
  }

  /** Names the process that runs as an upstream. */
  private processOf(upstream: UpstreamId): string {
    const startedAt = this.options.getStartTime?.(upstream);
    return startedAt === undefined ? upstream : `${upstream}@${startedAt}`;
  }

  private record(report: CrashReport, from: ReportOrigin, request?: GuardedRequest): void {
    const { clock, metrics } = this.options;
    const { digest, upstream: server } = report;
    if (!this.suspects.recordCrash(report, clock.now(), from)) return;
    metrics.count('crashes.recorded', { from });
    const crashes = this.suspects.countCrashes(digest, clock.now());
    const ageMs = Math.round(report.ageMs);
    const { id, shared } = request ?? {};
    const owner = { id, digest: shorten(digest), shared: shared?.join() };
    log('crash_recorded', { ...owner, server, from, ageMs, crashes });
  }

  private reportToGroup(reports: readonly CrashReport[]): void {
    const { group, self } = this.options;
    group
      .members()
      .filter((member) => member.host !== self)
      .forEach(({ host, peerAddress: address }) => this.sendReports({ host, address }, reports));
  }

  private sendReports(peer: PeerAddress, reports: readonly CrashReport[]): void {
    void this.options.link?.ask(peer, { type: 'crashes', reports }, REPORT_TIMEOUT_MS);
  }
}

function shorten(digest: string): string {
  return digest.slice(0, LOGGED_DIGEST_LENGTH);
}
