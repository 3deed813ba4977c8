import { sha256Hex } from '@camphorvane/core';
import type { Clock, Millis, UpstreamId } from '@camphorvane/core';
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
import { interruptible, manyListeners } from '../engine/interruptible.ts';

/** Header in which a service gets the attempt's id and gives it back. */
export const ATTEMPT_HEADER = 'x-camphorvane-attempt';

/** What a service answers; a caller verifies with it that the answer is its own. */
export interface ServiceAnswerBody {
  readonly server: UpstreamId;
  readonly path: string;
  /** SHA-256 of the body that was answered. */
  readonly bodyDigest: string;
  /** Grows with each execution at this server. */
  readonly serial: number;
}

/** How a stand-in service behaves while healthy. */
export interface ServiceSettings {
  readonly id: UpstreamId;
  readonly delayMs: Millis;
  /** How long the server is away after a crash; undefined keeps it down. */
  readonly restartMs: Millis | undefined;
  /** A broken server that runs each call so many times; 1 is right. Proves that checks can fail. */
  readonly runsPerCall: number;
}

/** Gets complete settings for a stand-in service. */
export function serviceSettings(
  given: Pick<ServiceSettings, 'id'> & Partial<ServiceSettings>,
): ServiceSettings {
  return { delayMs: 20, restartMs: undefined, runsPerCall: 1, ...given };
}

/**
 * A stand-in server of a plain service.
 *
 * A call takes effect halfway through its delay, and a caller who has gone by then changes
 * nothing: so a lost answer and a crash can each come before or after the effect.
 */
export class ServiceCore implements PlainServer {
  /** Everything that took effect here. */
  readonly records: ExecutionRecord[] = [];

  private faultState: EngineFaults = NO_ENGINE_FAULTS;

  private life = manyListeners();

  private lostAnswers = 0;

  private refusals = 0;

  constructor(
    private readonly settings: ServiceSettings,
    private readonly clock: Clock,
  ) {}

  /** Gets the server's name. */
  get id(): UpstreamId {
    return this.settings.id;
  }

  /** Gets what is wrong with the server. */
  get faults(): EngineFaults {
    return this.faultState;
  }

  /** Changes what is wrong with the server. */
  setFaults(change: Partial<EngineFaults>): void {
    this.faultState = { ...this.faultState, ...change };
  }

  /** Loses the answers of the next calls after they took effect. */
  loseAnswers(count: number): void {
    this.lostAnswers += count;
  }

  /** Refuses the next calls before they run. */
  refuse(count: number): void {
    this.refusals += count;
  }

  /** Breaks all calls; the server comes back after its restart time. */
  crash(): void {
    this.life.abort();
    this.life = manyListeners();
    this.setFaults({ down: true, silent: false });
    const { restartMs } = this.settings;
    if (restartMs !== undefined) this.clock.after(restartMs, () => this.setFaults({ down: false }));
  }

  /** Gets how often calls with an idempotency key took effect here. */
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
    if (this.refusals > 0) {
      this.refusals -= 1;
      return err({ type: 'rejected', dispatched: false, message: 'busy' });
    }
    const life = this.life.signal;
    const half = (this.settings.delayMs * this.faultState.slowFactor) / 2;
    if ((await interruptible(this.clock, half, life)) === 'interrupted') return err(this.broken());
    const body = Buffer.from(call.body).toString('utf8');
    this.execute(call, body);
    const { poison } = this.faultState;
    if (poison !== undefined && body.includes(poison)) this.crash();
    if ((await interruptible(this.clock, half, life)) === 'interrupted') return err(this.broken());
    if (this.faultState.silent) await interruptible(this.clock, undefined, signal);
    if (signal.aborted) return err({ type: 'cancelled', dispatched: true, message: 'caller gone' });
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
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
    this.records.push(...Array.from({ length: this.settings.runsPerCall }, () => record));
  }

  private answer(call: ServiceCall, body: string): UpstreamResponse {
    const { crossedStreams } = this.faultState;
    const crossed = crossedStreams > 0;
    if (crossed) this.setFaults({ crossedStreams: crossedStreams - 1 });
    const shown: ServiceAnswerBody = {
      server: this.id,
      path: crossed ? '/of/a/stranger' : call.path,
      bodyDigest: sha256Hex(crossed ? 'body of a stranger' : body),
      serial: this.records.length,
    };
    const attempt = crossed ? 'attempt-of-a-stranger' : call.attempt;
    return {
      status: 200,
      headers: { 'content-type': 'application/json', [ATTEMPT_HEADER]: attempt },
      body: Buffer.from(JSON.stringify(shown)),
    };
  }

  private broken(): UpstreamError {
    return { type: 'broken', dispatched: true, message: `${this.id} broke the connection` };
  }
}
