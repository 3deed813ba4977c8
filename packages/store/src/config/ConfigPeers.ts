import type { StoredObject } from '../ObjectStore.ts';

/**
 * Gets the configuration from the other hosts of the group while the platform is unavailable. Both
 * calls resolve within a bounded time and never reject.
 */
export interface ConfigPeers {
  /** Gets the root with the highest version that is active at a reachable peer. */
  newestRoot(): Promise<StoredObject | undefined>;

  /**
   * Gets the text of a part.
   *
   * @param digest - The part's digest; the caller verifies the text against it.
   * @returns The text, or undefined where no reachable peer has it.
   */
  chunk(digest: string): Promise<string | undefined>;
}

/** Implementation for a host without peers. */
export const NO_PEERS: ConfigPeers = {
  newestRoot: () => Promise.resolve(undefined),
  chunk: () => Promise.resolve(undefined),
};
