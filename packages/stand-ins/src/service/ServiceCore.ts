import { NO_SIGNALS, sha256Hex } from '@camphorvane/core';
import type { Clock, Millis, UpstreamId, UpstreamSignals } from '@camphorvane/core';
import type {
  PlainServer,
  UpstreamResponse,
  ServiceCall,
  UpstreamError,
} from '@camphorvane/upstream';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineFaults } from '../engine/EngineFaults.ts';
import { NO_ENGINE_FAULTS } from '../engine/EngineFaults.ts';
import type { ExecutionRecord } from '../engine/ExecutionRecord.ts';
import { waitOrAbort, sharedAbortController } from '../engine/waitOrAbort.ts';

/** Request header with the attempt ID, which the service echoes in its response. */
export const ATTEMPT_HEADER = 'x-camphorvane-attempt';

/** Response body; lets a caller verify that the answer belongs to its request. */
export interface ServiceAnswerBody {
  readonly server: UpstreamId;
  readonly path: string;
  /** SHA-256 of the request body. */
  readonly bodyDigest: string;
  /** Number of executions at this server so far. */
  readonly serial: number;
}

/** Behavior of a stand-in service without faults. */
export interface ServiceSettings {
  readonly id: UpstreamId;
  readonly delayMs: Millis;
  /** Time from a crash to the restart; undefined keeps the server down. */
  readonly restartMs: Millis | undefined;
  /** Executions of each call; more than 1 is a faulty server, to test that checks detect it. */
  readonly executionsPerCall: number;
}

/** Gets complete settings for a stand-in service. */
export function serviceSettings(
  given: Pick<ServiceSettings, 'id'> & Partial<ServiceSettings>,
): ServiceSettings {
  return { delayMs: 20, restartMs: undefined, executionsPerCall: 1, ...given };
}

/**
 * An in-memory server of a plain service for tests.
 *
 * A call takes effect halfway through its delay, even if the caller has disconnected by then. So a
 * crash or a lost answer can occur before or after the effect.
 */
export class ServiceCore implements PlainServer {
  /** Calls that took effect, oldest first. */
  readonly records: ExecutionRecord[] = [];

  private faultState: EngineFaults = NO_ENGINE_FAULTS;

  private currentSignals: UpstreamSignals = NO_SIGNALS;

  private crashController = sharedAbortController();

  private answersToLose = 0;

  private callsToReject = 0;

  constructor(
    private readonly settings: ServiceSettings,
    private readonly clock: Clock,
  ) {}

  /** Gets the ID of the server. */
  get id(): UpstreamId {
    return this.settings.id;
  }

  /** Gets the injected faults. */
  get faults(): EngineFaults {
    return this.faultState;
  }

  /** Changes the given faults and leaves the others unchanged. */
  setFaults(change: Partial<EngineFaults>): void {
    this.faultState = { ...this.faultState, ...change };
  }

  /** Gets what the server says about itself in its answers. */
  get signals(): UpstreamSignals {
    return this.currentSignals;
  }

  /** Sets what the server says in its answers. One that asks for rest rejects all calls. */
  setSignals(signals: UpstreamSignals): void {
    this.currentSignals = signals;
  }

  /** Drops the answers of the next `count` calls after they took effect. */
  loseAnswers(count: number): void {
    this.answersToLose += count;
  }

  /** Rejects the next `count` calls before they run. */
  rejectCalls(count: number): void {
    this.callsToReject += count;
  }

  /** Fails all calls in flight; restarts after `restartMs`, if set. */
  crash(): void {
    this.crashController.abort();
    this.crashController = sharedAbortController();
    this.setFaults({ down: true, silent: false });
    const { restartMs } = this.settings;
    if (restartMs !== undefined) this.clock.after(restartMs, () => this.setFaults({ down: false }));
  }

  /** Gets the number of executions with an idempotency key. */
  executions(idempotencyKey: string): number {
    return this.records.filter((record) => record.headers['idempotency-key'] === idempotencyKey)
      .length;
  }

  /** Runs one call. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    return new ResultAsync(this.run(call, signal));
  }

  private async run(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamResponse, UpstreamError>> {
    if (this.faultState.down) {
      return err({ type: 'unreachable', dispatched: false, message: 'connection refused' });
    }
    if (this.currentSignals.restMs !== undefined) {
      return err({ type: 'rejected', dispatched: false, message: 'busy, asks for rest' });
    }
    if (this.callsToReject > 0) {
      this.callsToReject -= 1;
      return err({ type: 'rejected', dispatched: false, message: 'busy' });
    }
    const crash = this.crashController.signal;
    const halfMs = (this.settings.delayMs * this.faultState.slowFactor) / 2;
    if ((await waitOrAbort(this.clock, halfMs, crash)) === 'interrupted') return err(this.broken());
    const body = Buffer.from(call.body).toString('utf8');
    this.execute(call, body);
    const { poison } = this.faultState;
    if (poison !== undefined && body.includes(poison)) this.crash();
    if ((await waitOrAbort(this.clock, halfMs, crash)) === 'interrupted') return err(this.broken());
    if (this.faultState.silent) await waitOrAbort(this.clock, undefined, signal);
    if (signal.aborted) return err({ type: 'cancelled', dispatched: true, message: 'caller gone' });
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      return err(this.broken());
    }
    return ok(this.answer(call, body));
  }

  private execute(call: ServiceCall, body: string): void {
    const record: ExecutionRecord = {
      upstream: this.id,
      kind: 'call',
      attempt: call.attempt,
      text: `${call.method} ${call.path} ${body}`,
      at: this.clock.now(),
      headers: call.headers,
      computedTokens: 0,
    };
    this.records.push(...Array.from({ length: this.settings.executionsPerCall }, () => record));
  }

  private answer(call: ServiceCall, body: string): UpstreamResponse {
    const { crossedStreams } = this.faultState;
    const isCrossed = crossedStreams > 0;
    if (isCrossed) this.setFaults({ crossedStreams: crossedStreams - 1 });
    const answerBody: ServiceAnswerBody = {
      server: this.id,
      path: isCrossed ? '/of/a/stranger' : call.path,
      bodyDigest: sha256Hex(isCrossed ? 'body of a stranger' : body),
      serial: this.records.length,
    };
    const attempt = isCrossed ? 'attempt-of-a-stranger' : call.attempt;
    return {
      status: 200,
      headers: { 'content-type': 'application/json', [ATTEMPT_HEADER]: attempt },
      body: Buffer.from(JSON.stringify(answerBody)),
    };
  }

  private broken(): UpstreamError {
    return { type: 'broken', dispatched: true, message: `${this.id} broke the connection` };
  }
}
