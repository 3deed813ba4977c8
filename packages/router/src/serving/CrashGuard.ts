import type { Clock, HostId, Millis, Refusal, UpstreamId } from '@camphorvane/core';
import { notRun, sha256Hex } from '@camphorvane/core';
import { CrashSuspicion } from '@camphorvane/decisions';
import type { CrashReport, CrashSuspicionOptions } from '@camphorvane/decisions';
import type { PeerLink } from '@camphorvane/peer';
import type { UpstreamError } from '@camphorvane/upstream';
import type { GroupGate } from '../host/ports.ts';

/** Milliseconds to wait for a peer to take a report. */
const TELL_TIMEOUT_MS: Millis = 1_000;

/** What a crash guard is made of. */
export interface CrashGuardOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  /** Carries reports to other hosts; absent where hosts have no link. */
  readonly link?: PeerLink;
  /** When a request is held back; those not given have their defaults. */
  readonly suspicion?: Partial<CrashSuspicionOptions>;
}

/** Holds back requests that crash the upstreams which run them, for all hosts of the group. */
export class CrashGuard {
  private readonly options: CrashGuardOptions;

  private readonly suspicion: CrashSuspicion;

  /** @param options - what the guard is made of. */
  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.suspicion = new CrashSuspicion(options.suspicion);
  }

  /**
   * Gets the digest by which a request is known again when its caller sends it once more.
   *
   * @param parts - What the request consists of, such as model and prompt.
   * @returns The digest.
   */
  static digestOf(...parts: readonly string[]): string {
    return sha256Hex(JSON.stringify(parts));
  }

  /**
   * Gets the refusal of a request that crashed several upstreams.
   *
   * @param digest - The request's digest.
   * @returns The refusal, or undefined where the request may run.
   */
  refusalFor(digest: string): Refusal | undefined {
    const heldBackMs = this.suspicion.getHeldBackMs(digest, this.options.clock.now());
    if (heldBackMs === undefined) return undefined;
    const text = 'Upstreams crashed while they ran this request; it is held back for a while.';
    return notRun('suspected_crasher', text, heldBackMs);
  }

  /**
   * Notes that an attempt failed on an upstream, if the way it failed looks like a crash.
   *
   * @param digest - The request's digest.
   * @param upstream - The upstream that ran it.
   * @param error - How it failed.
   */
  failed(digest: string, upstream: UpstreamId, error: UpstreamError): void {
    if (error.type !== 'broken') return;
    const report: CrashReport = { digest, upstream, ageMs: 0 };
    this.suspicion.observe(report, this.options.clock.now());
    this.tellGroup([report]);
  }

  /** Notes that a request got its whole answer. */
  succeeded(digest: string): void {
    this.suspicion.clear(digest);
  }

  /** Takes in what other hosts saw. */
  heard(reports: readonly CrashReport[]): void {
    reports.forEach((report) => this.suspicion.observe(report, this.options.clock.now()));
  }

  /** Gets how many requests are under suspicion, for the state dump. */
  dump(): object {
    return { suspected: this.suspicion.size };
  }

  private tellGroup(reports: readonly CrashReport[]): void {
    const { group, link, self } = this.options;
    if (link === undefined) return;
    group
      .members()
      .filter((member) => member.host !== self)
      .forEach((member) => {
        const peer = { host: member.host, address: member.peerAddress };
        void link.ask(peer, { type: 'crashes', reports }, TELL_TIMEOUT_MS);
      });
  }
}
