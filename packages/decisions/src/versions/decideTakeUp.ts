import type { ModelId } from '@camphorvane/core';
import type { Origin } from './StreamOrigins.ts';
import type { StreamBinding } from './StreamBinding.ts';

/** How the version that began a stream is known. */
export type OriginSource = 'own' | 'peer' | 'sole_version' | 'no_versions';

/** What a host knows of a stream that its caller takes up again. */
export interface TakeUpKnowledge {
  /** What this host was told itself. */
  readonly own: Origin | undefined;
  /** What peers answered: origins that they were told, or versions that were the only ones. */
  readonly peers: readonly Origin[];
  /** The only version of the only pool lately; undefined where there were several of either. */
  readonly soleVersion: string | undefined;
  /** The pools to which the route sends requests. */
  readonly pools: readonly ModelId[];
  /** Whether the engines of these pools have versions at all. */
  readonly hasVersions: boolean;
}

/** Whether a stream that its caller takes up goes on. */
export type TakeUpDecision =
  | {
      readonly type: 'go_on';
      readonly binding: StreamBinding;
      /** The pool at which it goes on; undefined for any. */
      readonly pool: ModelId | undefined;
      readonly source: OriginSource;
    }
  /** No host knows what began it, or the route does not lead there any more; its caller has to begin anew. */
  | { readonly type: 'unknown' };

/**
 * Decides whether a stream that its caller takes up goes on, at which pool and at which version.
 *
 * A wrong pool or version spoils the stream, and a refusal costs its caller a new beginning. So where answers differ,
 * or nobody knows, it does not go on.
 *
 * @param knowledge - What this host and its peers know.
 * @returns The decision.
 */
export function decideTakeUp(knowledge: TakeUpKnowledge): TakeUpDecision {
  const { own, peers, soleVersion, pools, hasVersions } = knowledge;
  if (!hasVersions) {
    return { type: 'go_on', binding: { type: 'free' }, pool: undefined, source: 'no_versions' };
  }
  if (own !== undefined) return goOn(own, pools, 'own');
  if (peers.length > 0) return goOn(agreedOrigin(peers), pools, 'peer');
  const sole = soleVersion === undefined ? undefined : { version: soleVersion };
  return goOn(sole, pools, 'sole_version');
}

/** Gets the origin that all peers name; undefined where they differ. */
function agreedOrigin(peers: readonly Origin[]): Origin | undefined {
  const versions = new Set(peers.map(({ version }) => version));
  const named = new Set(peers.flatMap(({ pool }) => pool ?? []));
  const [version] = versions;
  const [pool] = named;
  if (version === undefined || versions.size > 1 || named.size > 1) return undefined;
  return pool === undefined ? { version } : { version, pool };
}

function goOn(
  origin: Origin | undefined,
  pools: readonly ModelId[],
  source: OriginSource,
): TakeUpDecision {
  if (origin === undefined) return { type: 'unknown' };
  const { version, pool = pools.length === 1 ? pools[0] : undefined } = origin;
  if (pool === undefined || !pools.includes(pool)) return { type: 'unknown' };
  return { type: 'go_on', binding: { type: 'bound', version }, pool, source };
}
