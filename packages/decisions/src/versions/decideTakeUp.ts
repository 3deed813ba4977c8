import type { KeptOrigin } from './StreamOrigins.ts';
import type { StreamBinding } from './StreamBinding.ts';

/** How the version that began a stream is known. */
export type OriginSource = 'own' | 'peer' | 'sole_version' | 'no_versions';

/** What a host knows of a stream that its caller takes up again. */
export interface TakeUpKnowledge {
  /** What this host was told itself. */
  readonly own: KeptOrigin | undefined;
  /** What peers answered: versions that they were told, or that were the only ones. */
  readonly peers: readonly string[];
  /** The only version of the pool lately; undefined where there were several. */
  readonly soleVersion: string | undefined;
  /** Whether the pool's engines have versions at all. */
  readonly hasVersions: boolean;
}

/** Whether a stream that its caller takes up goes on. */
export type TakeUpDecision =
  | { readonly type: 'go_on'; readonly binding: StreamBinding; readonly source: OriginSource }
  /** No host knows which version began it; its caller has to begin anew. */
  | { readonly type: 'unknown' };

/**
 * Decides whether a stream that its caller takes up goes on, and at which version.
 *
 * A wrong version spoils the stream, and a refusal costs its caller a new beginning. So where answers differ, or
 * nobody knows, it does not go on.
 *
 * @param knowledge - What this host and its peers know.
 * @returns The decision.
 */
export function decideTakeUp(knowledge: TakeUpKnowledge): TakeUpDecision {
  const { own, peers, soleVersion, hasVersions } = knowledge;
  if (!hasVersions) return { type: 'go_on', binding: { type: 'free' }, source: 'no_versions' };
  if (own !== undefined) return goOn(own.version, 'own');
  const [version, ...others] = new Set(peers);
  if (version !== undefined) return others.length > 0 ? { type: 'unknown' } : goOn(version, 'peer');
  return soleVersion === undefined ? { type: 'unknown' } : goOn(soleVersion, 'sole_version');
}

function goOn(version: string, source: OriginSource): TakeUpDecision {
  return { type: 'go_on', binding: { type: 'bound', version }, source };
}
