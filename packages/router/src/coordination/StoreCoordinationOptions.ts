import type { Millis, OverloadPolicy } from '@camphorvane/core';
import type { RateTolerance, RetryAllowance } from '@camphorvane/decisions';
import type { HintLink } from '@camphorvane/peer/hints';
import type { SnapshotExchange } from '@camphorvane/peer/snapshots';
import type { WatchableStore, DeploymentFormat } from '@camphorvane/store';
import type { Metrics } from '../observe/Metrics.ts';

/** Options of a {@link StoreCoordination}. */
export interface StoreCoordinationOptions {
  readonly store: WatchableStore;
  readonly format: DeploymentFormat;
  readonly hints: HintLink;
  /** Reads stored objects from peers while the store turns this host away; absent where peers offer none. */
  readonly snapshots?: SnapshotExchange;
  /** See {@link HostRecord.strength}. */
  readonly strength: number;
  readonly tolerance: RateTolerance;
  readonly retryAllowance: RetryAllowance;
  /** See {@link DeploymentFeedOptions.strictKeysMs}; where set, withdrawn keys also abort requests. */
  readonly strictKeysMs: Millis | undefined;
  /** See {@link DeploymentFeedOptions.watchMs}. */
  readonly watchMs: Millis;
  /** See {@link DeploymentFeedOptions.heartbeatMs}. */
  readonly heartbeatMs: Millis;
  /** Whether operators may drain availability zones; see {@link ZoneDrains}. */
  readonly drainsZones: boolean;
  /** Controls for overload that are switched on; none where absent. */
  readonly overload?: OverloadPolicy;
  /** Duration of the lease with which one host acts for all, in milliseconds. */
  readonly leaseMs: Millis;
  readonly metrics: Metrics;
}
