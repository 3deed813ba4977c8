import type { Millis } from '@camphorvane/core';
import { DemandTracker } from '../roles/DemandTracker.ts';
import { RoleChanges } from '../roles/RoleChanges.ts';
import { EngineHealth } from './EngineHealth.ts';
import { InFlightTracker } from './InFlightTracker.ts';
import { PeerCounts } from './PeerCounts.ts';
import { UpstreamSpeeds } from '../completion/UpstreamSpeeds.ts';
import { UpstreamAdmission } from './UpstreamAdmission.ts';

/**
 * Lifetime of a peer's backlog report, in milliseconds. Reports arrive within 200 ms; a request that was
 * on time half a second ago has been placed, is late or was cancelled by now.
 */
const BACKLOG_REPORT_TTL_MS: Millis = 500;

/** What one host knows of the engines and the demand; placement and role changes are based on it. */
export class EngineKnowledge {
  /** Load in flight on each engine, from this host and its peers. */
  readonly inFlight = new InFlightTracker();

  /** Requests that are queued on other hosts and can still meet their target, by pool. */
  readonly peerBacklog = new PeerCounts(BACKLOG_REPORT_TTL_MS);

  /** Failures and speed of each engine, as seen by this host. */
  readonly health = new EngineHealth();

  /** Engines whose role is being changed. */
  readonly roleChanges = new RoleChanges();

  /** Demand on each pool, over all hosts. */
  readonly demand = new DemandTracker();

  /** How many requests each engine may get. */
  readonly admission: UpstreamAdmission;

  /** How fast engines and servers are, over all hosts. */
  readonly speeds: UpstreamSpeeds;

  /**
   * @param admission - How many requests each engine may get.
   * @param speeds - How fast engines and servers are.
   */
  constructor(admission = new UpstreamAdmission(), speeds = new UpstreamSpeeds()) {
    this.admission = admission;
    this.speeds = speeds;
  }
}
