import { timingSafeEqual } from 'node:crypto';
import { sha256Hex, type RoutingConfig, type TeamConfig, type TeamId } from '@camphorvane/core';

/** Result of the look-up of a caller's key. */
export type KeyLookup =
  | { readonly type: 'team'; readonly team: TeamConfig; readonly digest: string }
  | { readonly type: 'withdrawn' }
  | { readonly type: 'unknown' };

/** A key that was withdrawn from a team; the streams opened with it must be closed. */
export interface WithdrawnKey {
  readonly digest: string;
  readonly team: TeamId;
}

/** Called with the keys that a configuration change withdrew. */
export type WithdrawalListener = (withdrawn: readonly WithdrawnKey[]) => void;

/**
 * Maximum number of withdrawn keys for which the reason of the refusal is stored. Older ones are
 * refused as unknown, so the limit affects memory use only.
 */
const MAX_WITHDRAWN = 10_000;

/** Maximum length of a key; longer ones are never issued, and hashing them would waste CPU time. */
const MAX_KEY_LENGTH = 256;

interface KeyOwner {
  readonly team: TeamConfig;
  readonly digest: string;
}

/** Maps API keys to teams by digest. */
export class KeyRing {
  private owners = new Map<string, KeyOwner>();

  private withdrawn = new Set<string>();

  private readonly listeners = new Set<WithdrawalListener>();

  /** Gets the number of active keys. */
  getSize(): number {
    return this.owners.size;
  }

  /**
   * Finds the team of a key.
   *
   * The timing of the map look-up leaks nothing about a key, since it uses the digest, which a caller
   * can't choose. The digests are compared in constant time as well.
   *
   * @param key - The key as the caller sent it.
   * @returns The team, or whether the key was withdrawn or is unknown.
   */
  lookup(key: string): KeyLookup {
    if (key.length > MAX_KEY_LENGTH) return { type: 'unknown' };
    const digest = sha256Hex(key);
    const owner = this.owners.get(digest);
    if (owner !== undefined && equalInConstantTime(owner.digest, digest)) {
      return { type: 'team', team: owner.team, digest };
    }
    return { type: this.withdrawn.has(digest) ? 'withdrawn' : 'unknown' };
  }

  /**
   * Tells whether a key still belongs to a team; checked before each stage of a long request.
   *
   * @param digest - The digest from {@link lookup}.
   * @param team - The team from {@link lookup}.
   * @returns False once the key was withdrawn or moved to another team.
   */
  isActive(digest: string, team: TeamId): boolean {
    return this.owners.get(digest)?.team.id === team;
  }

  /**
   * Replaces the keys by those of a configuration and notifies the listeners of withdrawn keys.
   *
   * @param config - The new active configuration.
   */
  update(config: RoutingConfig): void {
    const before = this.owners;
    this.owners = new Map(
      config.teams.flatMap((team) =>
        team.keyDigests.map((digest) => [digest, { team, digest }] as const),
      ),
    );
    const removed = [...before.values()]
      .filter(({ digest, team }) => !this.isActive(digest, team.id))
      .map(({ digest, team }) => ({ digest, team: team.id }));
    this.recordWithdrawn(removed);
    if (removed.length > 0) this.listeners.forEach((listener) => listener(removed));
  }

  /**
   * Adds a listener for withdrawn keys.
   *
   * @param listener - Called with the keys that a configuration change withdrew.
   * @returns A function that removes the listener.
   */
  onWithdrawn(listener: WithdrawalListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private recordWithdrawn(removed: readonly WithdrawnKey[]): void {
    const digests = [...this.withdrawn, ...removed.map(({ digest }) => digest)];
    const kept = digests.filter((digest) => !this.owners.has(digest));
    this.withdrawn = new Set(kept.slice(-MAX_WITHDRAWN));
  }
}

function equalInConstantTime(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
