import type { Clock, Millis, UpstreamId } from '@camphorvane/core';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';

/** Milliseconds for which an engine that leaves takes requests, where the settings name no time. */
const DEFAULT_DRAIN_MS: Millis = 2_000;

/** Part of that time in which streams may go on at the engine; the notice takes the rest to reach this host. */
const USABLE_FRACTION = 0.5;

/** Options of {@link EngineDepartures}. */
export interface EngineDeparturesOptions {
  readonly clock: Clock;
  readonly directory: UpstreamDirectory;
  /** Milliseconds for which an engine that leaves takes requests. */
  readonly drainMs?: Millis | undefined;
}

/**
 * Knows which engines of running streams have left the configuration, and since when.
 *
 * A stream may go on at such an engine, since a move has stopped it there or a copy is kept there, but only while the
 * engine still takes requests.
 */
export class EngineDepartures {
  private readonly options: EngineDeparturesOptions;

  private leftAt: ReadonlyMap<UpstreamId, Millis> = new Map();

  /** @param options - The configured engines, and how long one that leaves takes requests. */
  constructor(options: EngineDeparturesOptions) {
    this.options = options;
  }

  /**
   * Records which of the engines are not configured any more, and forgets all others.
   *
   * @param engines - The engines at which streams may go on.
   */
  observe(engines: readonly UpstreamId[]): void {
    const { clock, directory } = this.options;
    const left = engines.filter((engine) => directory.getEngine(engine) === undefined);
    this.leftAt = new Map(left.map((id) => [id, this.leftAt.get(id) ?? clock.now()]));
  }

  /**
   * Tells whether a stream may go on at an engine.
   *
   * @param engine - An engine at which the stream was placed, or to which it was copied.
   */
  mayGoOnAt(engine: UpstreamId): boolean {
    const { clock, directory, drainMs = DEFAULT_DRAIN_MS } = this.options;
    if (directory.getEngine(engine) !== undefined) return true;
    const since = this.leftAt.get(engine) ?? clock.now();
    return clock.now() - since <= drainMs * USABLE_FRACTION;
  }
}
