import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import { RandomSource, TOKENS_PER_PIECE } from '@camphorvane/core';
import type { RoleChanges } from '../roles/RoleChanges.ts';
import type { EngineHealth } from './EngineHealth.ts';
import type { EngineKnowledge } from './EngineKnowledge.ts';
import type { InFlightTracker } from './InFlightTracker.ts';
import { mergeOpenings } from '../signals/openings.ts';
import type { Opening } from '../signals/openings.ts';
import { cheaper, disaggregatedChoice, FULL_ENGINE_COST_MS } from './pairChoice.ts';
import type { Choice, DecodeOption, EnginePair, PrefillOption } from './pairChoice.ts';
import { speedGains } from './speedGains.ts';
import type { UpstreamAdmission } from './UpstreamAdmission.ts';
import type { UpstreamSpeeds } from '../completion/UpstreamSpeeds.ts';
import type { StreamBinding } from '../versions/StreamBinding.ts';
import { mayRunOn } from '../versions/StreamBinding.ts';

/** A request that needs engines. */
export interface PlacementRequest {
  readonly promptTokens: Tokens;
  /** KV memory that the request holds on average while it runs, in tokens. */
  readonly memoryTokens: Tokens;
  /** Engines on which the request failed. */
  readonly avoid: readonly UpstreamId[];
  /** Longest pause between events of an on-time stream of this pool, in ms; absent if unlimited. */
  readonly longestPauseMs?: Millis;
  /** Memory times expected output tokens; absent where the output is not known. */
  readonly memorySteps?: number;
  /** Which decode engines may take it; any where absent. */
  readonly binding?: StreamBinding;
  /** Whether its prompt was read before, so that a further prefill is a retry beside its run; absent where it was not. */
  readonly isPromptRead?: boolean;
}

/** Factor by which a prefill takes longer on a decode engine, which interleaves it with decode steps. */
const DECODE_PREFILL_FACTOR = 2;

/** Cost of a prefill on a decode engine, in milliseconds of waiting: it stalls the streams there. */
const DECODE_PREFILL_COST_MS: Millis = 120;

/**
 * Fraction of a stream's longest allowed pause that a prefill on the same engine may take. The rest
 * covers the error of the estimate and the network path to the caller.
 */
const PAUSE_BUDGET_FRACTION = 0.9;

/** Cost of a request to a reluctant engine, in milliseconds of waiting: other engines are used first. */
const RELUCTANT_ENGINE_COST_MS: Millis = 250;

/**
 * Fraction of the memory of an engine that is allocated to requests. The rest covers requests that
 * several hosts place at the same moment; an engine that runs out preempts a running stream and prefills
 * it again.
 */
export const MEMORY_FILL_LIMIT = 0.95;

/**
 * Smallest fleet, in hosts, in which the best engine of a random sample is chosen. With slightly stale
 * digests, all hosts would otherwise choose the engine that looked emptiest, and overfill it.
 */
const SAMPLING_MIN_HOSTS = 20;

/** Engines of each role in a sample. */
const SAMPLE_SIZE = 3;

/**
 * Chooses engines from what this host knows, without coordination.
 *
 * Hosts can lose contact with each other at any time, so each one places requests by itself, based on
 * what its peers reported within the last second. The pair of engines with the least expected wait is
 * chosen; a decode engine does the prefill itself where the prefill engines are busy or gone.
 */
export class LocalPlacement {
  private engines: readonly EngineConfig[] = [];

  private engineIds: readonly UpstreamId[] = [];

  private readonly inFlight: InFlightTracker;

  private readonly health: EngineHealth;

  private readonly roleChanges: RoleChanges;

  private readonly admission: UpstreamAdmission;

  private readonly speeds: UpstreamSpeeds;

  private readonly random: RandomSource;

  /**
   * @param knowledge - What this host knows of the engines.
   * @param random - Samples engines in large fleets.
   */
  constructor(
    { inFlight, health, roleChanges, admission, speeds }: EngineKnowledge,
    random = new RandomSource(1),
  ) {
    this.inFlight = inFlight;
    this.health = health;
    this.roleChanges = roleChanges;
    this.admission = admission;
    this.speeds = speeds;
    this.random = random;
  }

  /** Sets the engines to choose from. */
  setEngines(engines: readonly EngineConfig[]): void {
    this.engines = engines;
    this.engineIds = engines.map(({ id }) => id);
  }

  /** Gets whether there is any decode engine. */
  hasDecodeEngine(): boolean {
    return this.engines.some((engine) => engine.role === 'decode');
  }

  /** Gets whether there is a decode engine that may go on with the stream of a request, now or later. */
  hasEngineFor({ binding }: Pick<PlacementRequest, 'binding'>): boolean {
    return this.engines.some(
      ({ role, softwareVersion }) => role === 'decode' && mayRunOn(binding, softwareVersion),
    );
  }

  /**
   * Gets when decode engines take requests of this host, where all of them have asked for fewer.
   *
   * @param now - Present time.
   * @returns The openings in order; undefined while a decode engine has asked for nothing.
   */
  decodeOpenings(now: Millis): readonly Opening[] | undefined {
    const isDecode = ({ role }: EngineConfig): boolean => role === 'decode';
    const isFree = this.engines.some(
      (engine) => isDecode(engine) && this.admission.openings(engine.id, now) === undefined,
    );
    const engines = isFree ? [] : this.engines.filter(isDecode);
    if (engines.length === 0) return undefined;
    return mergeOpenings(engines.map(({ id }) => this.admission.openings(id, now)));
  }

  /**
   * Chooses engines for a request. A prompt that was read before is read by the decode engine, where that makes no
   * stream late: its run is one retry then, and not two.
   *
   * @param req - The request.
   * @param now - Present time.
   * @returns The engines, or undefined while no decode engine has room.
   */
  choose(req: PlacementRequest, now: Millis): EnginePair | undefined {
    const decodes = this.sample(this.decodeOptions(req, now));
    const prefills = this.sample(this.prefillOptions(req, now));
    const disaggregated = decodes.flatMap((decode) =>
      prefills.map((prefill) => disaggregatedChoice(prefill, decode)),
    );
    const able = decodes.filter((decode) => prefills.length === 0 || this.mayPrefill(decode, req));
    const colocated = able
      .filter((decode) => !decode.isPrefilling)
      .map((decode) => this.colocatedChoice(decode, req));
    if (req.isPromptRead === true && able.length > 0) {
      return colocated.reduce<Choice | undefined>(cheaper, undefined)?.pair;
    }
    return [...disaggregated, ...colocated].reduce<Choice | undefined>(cheaper, undefined)?.pair;
  }

  /**
   * Chooses a decode engine for a request whose prefill has ended.
   *
   * @param req - The request.
   * @param prefill - Engine that holds the KV memory of the prompt; undefined where there was none.
   * @param now - Present time.
   * @returns The decode engine, or undefined where none has room.
   */
  chooseDecode(
    req: PlacementRequest,
    prefill: UpstreamId | undefined,
    now: Millis,
  ): UpstreamId | undefined {
    const cfg = this.engines.find((engine) => engine.id === prefill);
    const source = cfg === undefined ? undefined : { cfg, prefillMs: 0, reluctanceMs: 0 };
    return this.decodeOptions(req, now)
      .map((decode) =>
        source === undefined
          ? this.colocatedChoice(decode, req)
          : disaggregatedChoice(source, decode),
      )
      .reduce<Choice | undefined>(cheaper, undefined)?.pair.decode;
  }

  /** Estimates the time that the prefill of a request would take if the chosen engines were idle. */
  idlePrefillMs(req: PlacementRequest, pair: EnginePair): Millis {
    const ms = this.prefillMs(pair.prefill ?? pair.decode, req.promptTokens);
    return pair.prefill === undefined ? ms * DECODE_PREFILL_FACTOR : ms;
  }

  private sample<T>(all: readonly T[]): readonly T[] {
    if (this.inFlight.getHostCount() < SAMPLING_MIN_HOSTS || all.length <= SAMPLE_SIZE) return all;
    return all
      .map((option) => ({ option, sortKey: this.random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .slice(0, SAMPLE_SIZE)
      .map(({ option }) => option);
  }

  /**
   * Gets whether a decode engine can do the prefill without making its streams late.
   *
   * During the prefill, each of its streams gets only one token per prefill chunk, so the next event is
   * delayed by the whole prefill. Starting one request sooner could make all these streams late.
   */
  private mayPrefill({ cfg, streams }: DecodeOption, req: PlacementRequest): boolean {
    if (streams === 0) return true;
    const { longestPauseMs = Infinity } = req;
    const tokenMs = this.health.tokenMs(cfg.id, this.engineIds) ?? 0;
    const eventMs = tokenMs * (cfg.eventTokens ?? 1);
    const prefillMs = this.prefillMs(cfg.id, req.promptTokens) * DECODE_PREFILL_FACTOR;
    return prefillMs + eventMs <= longestPauseMs * PAUSE_BUDGET_FRACTION;
  }

  private prefillMs(engine: UpstreamId, tokens: Tokens): Millis {
    return this.health.estimatePrefillMs(engine, tokens, this.engineIds);
  }

  private colocatedChoice(decode: DecodeOption, req: PlacementRequest): Choice {
    const { cfg, memoryFill, reluctanceMs } = decode;
    const expectedPrefillMs = this.prefillMs(cfg.id, req.promptTokens) * DECODE_PREFILL_FACTOR;
    return {
      pair: { prefill: undefined, decode: cfg.id, expectedPrefillMs },
      cost:
        expectedPrefillMs +
        DECODE_PREFILL_COST_MS +
        memoryFill * FULL_ENGINE_COST_MS +
        reluctanceMs,
    };
  }

  private prefillOptions(req: PlacementRequest, now: Millis): readonly PrefillOption[] {
    return this.usableEngines('prefill', req, now).map((cfg) => {
      const prefillMs = this.backlogMs(cfg.id, now) + this.prefillMs(cfg.id, req.promptTokens);
      return { cfg, prefillMs, reluctanceMs: this.reluctanceMs(cfg.id, now) };
    });
  }

  /**
   * Estimates the time until an engine has prefilled the prompts dispatched to it.
   *
   * The age of the reports of peers is subtracted, since the engine has gone on meanwhile: prompts that
   * were prefilled long ago would otherwise keep this host away from idle engines.
   */
  private backlogMs(engine: UpstreamId, now: Millis): Millis {
    const { own, peers, peersAgeMs } = this.inFlight.getPrefillBacklog(engine, now);
    const peersMs = peers === 0 ? 0 : Math.max(0, this.prefillMs(engine, peers) - peersAgeMs);
    return (own === 0 ? 0 : this.prefillMs(engine, own)) + peersMs;
  }

  /** Gets the decode engines with a free slot and memory for the request. */
  private decodeOptions(req: PlacementRequest, now: Millis): readonly DecodeOption[] {
    const gainOf = speedGains(this.speeds, this.engines, req, now);
    return this.fittingEngines(req, now)
      .map((cfg) => ({ cfg, load: this.inFlight.getTotal(cfg.id, now) }))
      .filter(({ cfg, load }) => load.streams < (cfg.slots ?? Infinity))
      .map(({ cfg, load }) => ({
        cfg,
        memoryFill: (load.memoryTokens + req.memoryTokens) / (cfg.memoryPieces * TOKENS_PER_PIECE),
        streams: load.streams,
        isPrefilling: load.prefillTokens > 0,
        reluctanceMs: this.reluctanceMs(cfg.id, now),
      }))
      .filter(({ memoryFill }) => memoryFill <= MEMORY_FILL_LIMIT)
      .map((option) => ({
        ...option,
        // A reluctant engine gains nothing by its speed: others are used first.
        reluctanceMs:
          option.reluctanceMs || -gainOf(option.cfg.id, option.memoryFill / MEMORY_FILL_LIMIT),
      }));
  }

  /**
   * Gets the decode engines that may go on with a request's stream. Where those that it avoids are the only ones of
   * its version, they are used again: the engine may have lost a connection and nothing else.
   */
  private fittingEngines(req: PlacementRequest, now: Millis): readonly EngineConfig[] {
    const isFitting = ({ softwareVersion }: EngineConfig): boolean =>
      mayRunOn(req.binding, softwareVersion);
    const others = this.usableEngines('decode', req, now).filter(isFitting);
    if (others.length > 0 || req.binding?.type !== 'bound') return others;
    return this.usableEngines('decode', { ...req, avoid: [] }, now).filter(isFitting);
  }

  /**
   * Gets the engines of a role that may be used. Those in back-off after a failure are left out while
   * there are others; those that are suspected, change their role or take no more requests of
   * this host now are always left out.
   */
  private usableEngines(
    role: EngineConfig['role'],
    req: PlacementRequest,
    now: Millis,
  ): readonly EngineConfig[] {
    const usable = this.engines.filter(
      ({ id, role: own }) => own === role && !req.avoid.includes(id) && this.isUsable(id, now),
    );
    const healthy = usable.filter((cfg) => !this.health.isBackingOff(cfg.id, now));
    return healthy.length > 0 ? healthy : usable;
  }

  private reluctanceMs(id: UpstreamId, now: Millis): Millis {
    return this.admission.isReluctant(id, now) ? RELUCTANT_ENGINE_COST_MS : 0;
  }

  private isUsable(id: UpstreamId, now: Millis): boolean {
    if (this.health.isSuspected(id) || this.roleChanges.getTargetRole(id, now) !== undefined)
      return false;
    return this.admission.allowance(id, now) > 0;
  }
}
