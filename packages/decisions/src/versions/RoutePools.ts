import type { ForwardRoute, Millis, ModelId } from '@camphorvane/core';

/** A pool to which a route of streams leads. */
interface Lead {
  readonly host: string;
  readonly pathPrefix: string;
  readonly pool: ModelId;
  /** When the route last led there. */
  readonly at: Millis;
}

/**
 * Which pools the routes of streams have led to lately.
 *
 * The only version of a pool has begun each stream of a route only if no request of that route could go to another
 * pool meanwhile: by this route, by one within it, or by one that it lies within.
 */
export class RoutePools {
  private readonly windowMs: Millis;

  private leads: ReadonlyMap<string, Lead> = new Map();

  /** Answers for the present leads. */
  private readonly alone = new Map<ModelId, boolean>();

  /** @param windowMs - Milliseconds after its end in which a stream may be taken up. */
  constructor(windowMs: Millis) {
    this.windowMs = windowMs;
  }

  /**
   * Records to which pools routes lead now.
   *
   * @param routes - The configured routes; only those of streams count.
   * @param now - Present time.
   */
  record(routes: readonly ForwardRoute[], now: Millis): void {
    const present = routes
      .filter(({ kind }) => kind === 'stream')
      .flatMap(({ host, pathPrefix, targets }) =>
        targets
          .filter(({ weight }) => weight > 0)
          .map(({ service }): Lead => ({ host, pathPrefix, pool: service, at: now })),
      );
    const recent = [...this.leads].filter(([, { at }]) => now - at <= this.windowMs);
    this.leads = new Map([...recent, ...present.map((lead) => [keyOf(lead), lead] as const)]);
    this.alone.clear();
  }

  /**
   * Tells whether no request that could go to a pool within the window could go to another one.
   *
   * @param model - The pool.
   */
  isAlone(model: ModelId): boolean {
    const known = this.alone.get(model);
    if (known !== undefined) return known;
    const leads = [...this.leads.values()];
    const others = leads.filter(({ pool }) => pool !== model);
    const isAlone = leads
      .filter(({ pool }) => pool === model)
      .every((lead) => !others.some((other) => areRelated(lead, other)));
    this.alone.set(model, isAlone);
    return isAlone;
  }
}

function keyOf({ host, pathPrefix, pool }: Lead): string {
  return JSON.stringify([host, pathPrefix, pool]);
}

/** Tells whether some path may belong to either of two routes. */
function areRelated(one: Lead, other: Lead): boolean {
  return (
    one.host === other.host &&
    (one.pathPrefix.startsWith(other.pathPrefix) || other.pathPrefix.startsWith(one.pathPrefix))
  );
}
