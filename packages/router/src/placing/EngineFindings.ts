import type { Clock, Millis, UpstreamId } from '@camphorvane/core';
import type { EngineKnowledge, EngineObservation } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { hasFailedToConnect } from '@camphorvane/upstream';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { EngineProbes } from './EngineProbes.ts';

/** Dependencies of {@link EngineFindings}. */
export interface EngineFindingsOptions {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  readonly knowledge: EngineKnowledge;
  /** Probes of engines that may be down. */
  readonly probes: EngineProbes;
}

/** Records what this host finds out about engines from its attempts. */
export class EngineFindings {
  private readonly options: EngineFindingsOptions;

  /** @param options - Dependencies. */
  constructor(options: EngineFindingsOptions) {
    this.options = options;
  }

  /** Records a failed attempt; see `Placer.attemptFailed`. */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void {
    const { clock, knowledge, probes } = this.options;
    switch (error.type) {
      case 'unreachable':
      case 'silent':
      case 'broken':
        if (hasFailedToConnect(error)) knowledge.admission.slowStart.recordUnreachable(engine);
        knowledge.health.recordFailure(engine, clock.now());
        probes.suspect(engine);
        break;
      case 'mismatch':
        knowledge.health.recordFailure(engine, clock.now());
        break;
      case 'rejected':
      case 'withheld':
      case 'cancelled':
        break;
      default:
        error satisfies never;
    }
  }

  /** Records an observation; see `Placer.observe`. */
  observe(observation: EngineObservation): void {
    const { clock, knowledge } = this.options;
    switch (observation.type) {
      case 'failed':
        knowledge.health.recordFailure(observation.engine, clock.now());
        break;
      case 'recovered':
        knowledge.health.recordSuccess(observation.engine);
        break;
      case 'token_interval':
        this.recordTokenInterval(observation.engine, observation.meanMs);
        break;
      case 'load':
      case 'prefill_done':
      case 'cache':
        break;
      default:
        observation satisfies never;
    }
  }

  private recordTokenInterval(id: UpstreamId, meanMs: Millis): void {
    const tokens = this.options.directory.getEngine(id)?.cfg.eventTokens ?? 1;
    const { clock, knowledge } = this.options;
    knowledge.health.recordTokenInterval(id, meanMs / tokens);
    knowledge.speeds.recordTokenInterval(id, meanMs / tokens, clock.now());
  }
}
