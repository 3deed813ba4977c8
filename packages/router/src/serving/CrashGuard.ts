import type { Clock, HostId, Millis, Refusal, UpstreamId } from '@camphorvane/core';
import { notRun, sha256Hex } from '@camphorvane/core';
import { CrashSuspects } from '@camphorvane/decisions';
import type { CrashReport, CrashSuspectsOptions } from '@camphorvane/decisions';
import type { PeerLink } from '@camphorvane/peer';
import type { UpstreamError } from '@camphorvane/upstream';
import type { GroupGate } from '../host/ports.ts';

/** Milliseconds to wait for a peer to acknowledge a crash report. */
const REPORT_TIMEOUT_MS: Millis = 1_000;

/** Options of a `CrashGuard`. */
export interface CrashGuardOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  /** Sends crash reports to the other hosts; absent where hosts have no peer link. */
  readonly link?: PeerLink;
  /** When a request is quarantined; defaults apply to limits that are not given. */
  readonly suspicion?: Partial<CrashSuspectsOptions>;
}

/**
 * Quarantines requests that crash the upstreams which run them.
 *
 * Crashes are reported to all hosts of the group, so that a retry through another host is refused too.
 */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly suspects: CrashSuspects;

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
   * @param digest - The request's digest.
   * @returns The refusal, or undefined where the request may run.
   */
  refusalFor(digest: string): Refusal | undefined {
    const quarantineMs = this.suspects.getBlockedMs(digest, this.options.clock.now());
    if (quarantineMs === undefined) return undefined;
    const text = 'Several upstreams crashed while running this request; it is quarantined for now.';
    return notRun('suspected_crasher', text, quarantineMs);
  }

  /**
   * Records a failed attempt, and reports it to the group if the upstream seems to have crashed.
   *
   * @param digest - The request's digest.
   * @param upstream - The upstream that ran it.
   * @param error - The error; only `broken`, a connection that broke off, counts as a crash.
   */
  recordFailure(digest: string, upstream: UpstreamId, error: UpstreamError): void {
    if (error.type !== 'broken') return;
    const report: CrashReport = { digest, upstream, ageMs: 0 };
    this.suspects.recordCrash(report, this.options.clock.now());
    this.reportToGroup([report]);
  }

  /** Clears a request that got a complete answer. */
  recordSuccess(digest: string): void {
    this.suspects.clear(digest);
  }

  /** Records crashes that other hosts reported. */
  receiveReports(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.suspects.recordCrash(report, this.options.clock.now()));
  }

  /** Gets the number of suspected requests, for the state dump. */
  dump(): object {
    return { suspected: this.suspects.size };
  }

  private reportToGroup(reports: readonly CrashReport[]): void {
    const { group, link, self } = this.options;
    if (link === undefined) return;
    group
      .members()
      .filter((member) => member.host !== self)
      .forEach((member) => {
        const peer = { host: member.host, address: member.peerAddress };
        void link.ask(peer, { type: 'crashes', reports }, REPORT_TIMEOUT_MS);
      });
  }
}
