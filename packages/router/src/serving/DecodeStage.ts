import type { Millis, SoftwareVersion, UpstreamId } from '@camphorvane/core';
import type {
  DecodeCommand,
  ModelEngine,
  PrefillResult,
  UpstreamError,
  UpstreamResponseHead,
} from '@camphorvane/upstream';
import { bindingTo, mayRunOn } from '@camphorvane/decisions';
import { eventLog } from '../observe/EventLog.ts';
import {
  answeredOtherwise,
  engineGone,
  streamTruncated,
  unconfigured,
  unconfirmedEnd,
  eventsMissing,
} from './attemptEnds.ts';
import type {
  AttemptDependencies,
  AttemptEvent,
  AttemptOutcome,
  AttemptPlan,
  FailedAttempt,
} from './completionAttemptPlan.ts';
import { StallDetector } from './StallDetector.ts';
import type { DoneEvent } from './StreamEnds.ts';
import type { StreamRelocation } from './StreamRelocation.ts';

const log = eventLog('decode');

/** Milliseconds without an event after which an engine is probed. */
const STALL_TIMEOUT_MS: Millis = 1_000;

/** The version of an engine that was started again with other software while it began a stream. */
const UNKNOWN_VERSION: SoftwareVersion = { type: 'unknown' };

/** What the decode of an attempt needs beside its plan. */
export interface DecodeStageOptions {
  readonly deps: AttemptDependencies;
  readonly plan: AttemptPlan;
  /** Ends the attempt. */
  readonly abort: AbortController;
  /** Records a failure, and gets the outcome. */
  readonly fail: (engine: UpstreamId, error: UpstreamError) => FailedAttempt;
}

/** The decode of one attempt. */
export class DecodeStage {
  private readonly options: DecodeStageOptions;

  /** Whether the decode engine disappeared without closing the connection. */
  private isEngineGone = false;

  private stall: StallDetector | undefined;

  /** Head of the engine's answer. */
  private head: UpstreamResponseHead | undefined;

  /** The stream, where it may go on at another engine. */
  private relocation: StreamRelocation | undefined;

  /** @param options - Plan and components of the attempt. */
  constructor(options: DecodeStageOptions) {
    this.options = options;
  }

  /**
   * Decodes the request.
   *
   * @param engine - The decode engine.
   * @param prefill - The prompt's KV cache; undefined where the engine runs the prefill itself.
   * @returns The events of the answer; the generator's return value is the outcome.
   */
  async *run(
    engine: ModelEngine,
    prefill: PrefillResult | undefined,
  ): AsyncGenerator<AttemptEvent, AttemptOutcome> {
    const { plan, deps, fail } = this.options;
    // The engine's zone may have been drained during the prefill.
    if (deps.directory.getEngine(engine.id) === undefined) return fail(engine.id, unconfigured());
    const softwareVersion = this.versionOf(engine.id);
    let delivered = 0;
    let last: { readonly at: Millis; readonly engine: UpstreamId } | undefined;
    const stream = this.open(engine, this.command(prefill));
    this.stall = this.detectStall(engine);
    try {
      for await (const event of stream) {
        this.stall.recordProgress();
        const { id } = this.currentEngine(engine);
        if (event.isErr()) {
          this.recordEnd(id, event.error.type, delivered);
          if (delivered === 0 && prefill !== undefined) {
            deps.metrics.count('prefill.wasted_tokens', {}, prefill.promptTokens);
          }
          return fail(id, this.isEngineGone ? engineGone() : event.error);
        }
        const { value } = event;
        if (value.type === 'token' || value.type === 'piece') {
          const at = deps.clock.now();
          // The pause of a switch between engines says nothing about the speed of either.
          if (last?.engine === id) this.recordInterval(id, at - last.at);
          last = { at, engine: id };
        }
        switch (value.type) {
          case 'done':
            this.recordEnd(id, 'done', delivered);
            if (!this.isEndCertain(engine, value, delivered)) return fail(id, unconfirmedEnd());
            return {
              type: 'done',
              reason: value.reason,
              prefill,
              outputTokens: plan.fromPosition + delivered,
            };
          case 'answer': {
            const hasHead = plan.hasHead || this.head !== undefined;
            this.head = value.head;
            this.recordEnd(id, 'answer', delivered);
            if (hasHead) return fail(id, answeredOtherwise());
            return { type: 'answered', engine: id, head: value.head, body: value.body };
          }
          case 'head':
          case 'token':
          case 'piece':
            if (value.type === 'piece' && delivered === 0 && plan.isNextKnown) {
              // An engine may repeat events; what it leaves out is lost.
              if (value.position < plan.fromPosition) break;
              if (value.position > plan.fromPosition) {
                this.recordEnd(id, 'missing', delivered);
                return fail(id, eventsMissing());
              }
            }
            if (value.type === 'head') this.head ??= value.head;
            if (prefill === undefined && delivered === 0) this.recordPrefillEnd();
            // An event without an id has the position before it, and is no part of the output.
            if (value.type !== 'head' && value.position >= plan.fromPosition) delivered += 1;
            if (value.type === 'piece') {
              const isSame =
                delivered > 1 || isSameVersion(softwareVersion, this.versionOf(engine.id));
              yield { ...value, softwareVersion: isSame ? softwareVersion : UNKNOWN_VERSION };
            } else yield value;
            break;
          default:
            value satisfies never;
        }
      }
    } finally {
      this.stall.close();
    }
    return fail(this.currentEngine(engine).id, streamTruncated());
  }

  /**
   * Tells whether a stream that ended is complete. Unless the end is marked, an engine that took the stream up and
   * was lost before its first event closes in the same way as one that had nothing left, and so does one that
   * another host has ordered to stop the run.
   */
  private isEndCertain({ id }: ModelEngine, { ending }: DoneEvent, delivered: number): boolean {
    const { plan, deps } = this.options;
    if (ending === 'marked') return true;
    const eventTokens = deps.directory.getEngine(id)?.cfg.eventTokens ?? 1;
    if ((plan.fromPosition + delivered) * eventTokens >= plan.maxTokens) return true;
    if (delivered === 0) return plan.fromPosition === 0 || plan.hasEndedEmpty;
    return !plan.hasRunElsewhere || plan.pool.relocation?.moves !== true;
  }

  /** Logs how the engine's part of the answer ended. */
  private recordEnd(engine: UpstreamId, end: string, events: number): void {
    const { plan } = this.options;
    const { head } = this;
    log('decode_ended', {
      ...{ id: plan.identity.request, engine, end, events, from: plan.fromPosition },
      ...{ status: head?.status, endsWithConnection: head?.endsWithConnection },
    });
  }

  private versionOf(engine: UpstreamId): SoftwareVersion | undefined {
    return this.options.deps.directory.getEngine(engine)?.cfg.softwareVersion;
  }

  private command(prefill: PrefillResult | undefined): DecodeCommand {
    const { plan } = this.options;
    return {
      attempt: plan.placement.reservation,
      prompt: typeof plan.prompt === 'string' ? undefined : plan.prompt,
      kvHandle: prefill?.kvHandle,
      maxTokens: plan.maxTokens,
      fromPosition: plan.fromPosition,
      priority: plan.placement.priority,
    };
  }

  private open(engine: ModelEngine, command: DecodeCommand): ReturnType<ModelEngine['decode']> {
    const { plan, deps, abort } = this.options;
    const { prompt } = command;
    const entry = deps.directory.getEngine(engine.id);
    this.relocation =
      prompt === undefined || entry === undefined
        ? undefined
        : deps.relocator?.open({
            ...{ id: plan.identity.request, reservation: plan.placement.reservation },
            ...{ pool: plan.pool, engine: entry, command: { ...command, prompt } },
            ...plan.limits,
            ...{ guard: plan.guard, retries: plan.retries, signal: abort.signal },
          });
    return this.relocation?.events() ?? engine.decode(command, abort.signal);
  }

  /** Gets the engine that runs the stream now. */
  private currentEngine(first: ModelEngine): ModelEngine {
    return this.relocation?.getEngine().engine ?? first;
  }

  /** Aborts the attempt if its engine disappears, so that another engine can resume the stream. */
  private detectStall(engine: ModelEngine): StallDetector {
    const { deps, abort } = this.options;
    return new StallDetector({
      clock: deps.clock,
      timeoutMs: STALL_TIMEOUT_MS,
      probe: async () => {
        const report = await this.currentEngine(engine).load();
        return report.isOk() || report.error.type === 'withheld';
      },
      onEngineGone: () => {
        deps.metrics.count('attempt.engine_gone');
        if (this.relocation?.leaveLostEngine(engineGone()) === true) {
          this.stall = this.detectStall(engine);
          return;
        }
        this.isEngineGone = true;
        abort.abort();
      },
    });
  }

  /** The first event of an engine that runs the prefill itself shows that the prefill has ended. */
  private recordPrefillEnd(): void {
    const { deps, plan } = this.options;
    deps.placements.prefillEnded(plan.pool.model, plan.placement.reservation);
  }

  private recordInterval(engine: UpstreamId, ms: Millis): void {
    const { deps, plan } = this.options;
    const { reservation } = plan.placement;
    deps.observer.recordTokenInterval(plan.pool.model, engine, reservation, ms);
    deps.metrics.timing('request.token_interval', ms);
  }
}

/** Tells whether an engine still has the version with which it was asked; one that has left meanwhile had it. */
function isSameVersion(
  before: SoftwareVersion | undefined,
  now: SoftwareVersion | undefined,
): boolean {
  if (now === undefined || before === undefined) return true;
  return mayRunOn(bindingTo(before), now);
}
