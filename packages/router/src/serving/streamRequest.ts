import type {
  Clock,
  Millis,
  OpaquePrompt,
  PoolConfig,
  RequestId,
  ReservationId,
  Tokens,
} from '@camphorvane/core';
import type { RelocationReason, RunningStream } from '@camphorvane/decisions';
import type { DecodeCommand } from '@camphorvane/upstream';
import type { EngineEntry } from '../host/UpstreamDirectory.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { Placer } from '../placing/Placer.ts';
import type { StreamLimits } from './completionAttemptPlan.ts';
import type { RelocationLedger } from '../placing/RelocationLedger.ts';
import type { EngineDepartures } from './EngineDepartures.ts';
import type { RequestGuard } from './RequestGuard.ts';
import type { RequestRetries } from './RequestRetries.ts';
import type { StopOrders } from './StopOrders.ts';

/** A stream to decode, which may go on at another engine. */
export interface StreamRequest extends StreamLimits {
  readonly id: RequestId;
  readonly reservation: ReservationId;
  readonly pool: PoolConfig;
  readonly engine: EngineEntry;
  readonly command: DecodeCommand & { readonly prompt: OpaquePrompt };
  readonly guard: RequestGuard;
  /** Charges what goes on at another engine, and counts its arrivals. */
  readonly retries: Pick<RequestRetries, 'tryRun' | 'recordRun'>;
  /** Aborted when the caller disconnects or the host ends the request. */
  readonly signal: AbortSignal;
}

/** Components of the host that a running stream uses. */
export interface StreamDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly placements: Placer;
  readonly ledger: RelocationLedger;
  /** Orders of this host to stop runs. */
  readonly stops: StopOrders;
  /** Engines that have left the configuration. */
  readonly departures: Pick<EngineDepartures, 'mayGoOnAt'>;
  /** Called once when a stream has ended. */
  readonly onClosed: (stream: RelocatableStream) => void;
}

/** An engine that receives a copy of a stream as it grows. */
export interface StreamBackup {
  readonly entry: EngineEntry;
  /** Memory that is reserved there. */
  readonly memoryTokens: Tokens;
}

/** A running stream, as its host's relocator sees it. */
export interface RelocatableStream {
  readonly request: StreamRequest;
  /** Engine that runs the stream, or that it moves to. */
  getEngine(): EngineEntry;
  /** Engine that it moves away from at the moment; undefined where it does not move. */
  getMoveSource(): EngineEntry | undefined;
  /** Engine that receives a copy of it; undefined for none. */
  getBackup(): StreamBackup | undefined;
  /** Describes the stream; undefined until its output has begun, and where it can't be moved. */
  describe(now: Millis): RunningStream | undefined;
  /** Starts to move it. */
  moveTo(target: EngineEntry, reason: RelocationReason): void;
}
