import { timingSafeEqual } from 'node:crypto';
import { sha256Hex, type RoutingConfig, type TeamConfig, type TeamId } from '@camphorvane/core';

/** What a caller's key stands for. */
export type KeyLookup =
  | { readonly type: 'team'; readonly team: TeamConfig; readonly digest: string }
  | { readonly type: 'withdrawn' }
  | { readonly type: 'unknown' };

/** A key that a team held until this change; streams that it opened have to end. */
export interface WithdrawnKey {
  readonly digest: string;
  readonly team: TeamId;
}

/** Is called with the keys that a change of configuration withdrew. */
export type WithdrawalListener = (withdrawn: readonly WithdrawnKey[]) => void;

/**
 * Withdrawn keys that are remembered, to tell their callers why they are refused. It bounds memory
 * only: a key that is forgotten is refused as unknown.
 */
const MAX_WITHDRAWN = 10_000;

/** Longest key that is hashed; a longer one can't be ours, and hashing it would cost time. */
const MAX_KEY_LENGTH = 256;

interface Holder {
  readonly team: TeamConfig;
  readonly digest: string;
}

/** Finds the team of a key, by digest. */
export class KeyRing {
  private holders = new Map<string, Holder>();

  private withdrawn = new Set<string>();

  private readonly listeners = new Set<WithdrawalListener>();

  /** Gets the number of keys in force. */
  getSize(): number {
    return this.holders.size;
  }

  /**
   * Finds the team of a key.
   *
   * The map is searched by the key's digest: how long that takes tells nothing about a key, since a
   * caller can't choose digests. The digest itself is compared in constant time all the same.
   *
   * @param key - The key as the caller sent it.
   * @returns The team, or whether the key was withdrawn or never known.
   */
  lookup(key: string): KeyLookup {
    if (key.length > MAX_KEY_LENGTH) return { type: 'unknown' };
    const digest = sha256Hex(key);
    const holder = this.holders.get(digest);
    if (holder !== undefined && isSame(holder.digest, digest)) {
      return { type: 'team', team: holder.team, digest };
    }
    return { type: this.withdrawn.has(digest) ? 'withdrawn' : 'unknown' };
  }

  /**
   * Tells whether a key still stands for a team; asked before each stage of a long request.
   *
   * @param digest - The digest that {@link lookup} gave.
   * @param team - The team that it gave.
   * @returns False once the key was withdrawn or moved to another team.
   */
  isInForce(digest: string, team: TeamId): boolean {
    return this.holders.get(digest)?.team.id === team;
  }

  /**
   * Takes over the keys of a configuration and tells the listeners which keys went.
   *
   * @param config - The configuration that is in force now.
   */
  update(config: RoutingConfig): void {
    const before = this.holders;
    this.holders = new Map(
      config.teams.flatMap((team) =>
        team.keyDigests.map((digest) => [digest, { team, digest }] as const),
      ),
    );
    const gone = [...before.values()]
      .filter(({ digest, team }) => !this.isInForce(digest, team.id))
      .map(({ digest, team }) => ({ digest, team: team.id }));
    this.remember(gone);
    if (gone.length > 0) this.listeners.forEach((listener) => listener(gone));
  }

  /**
   * Adds a listener for withdrawn keys.
   *
   * @param listener - Called with the keys that a change withdrew.
   * @returns A function that removes the listener.
   */
  onWithdrawn(listener: WithdrawalListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private remember(gone: readonly WithdrawnKey[]): void {
    const digests = [...this.withdrawn, ...gone.map(({ digest }) => digest)];
    const kept = digests.filter((digest) => !this.holders.has(digest));
    this.withdrawn = new Set(kept.slice(-MAX_WITHDRAWN));
  }
}

function isSame(a: string, b: string): boolean {
  return a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
