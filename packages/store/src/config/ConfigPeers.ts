import type { StoredObject } from '../ObjectStore.ts';

/**
 * Where a host gets the configuration when the platform does not answer: from the other hosts of
 * its group. Both calls resolve within a time that the implementation bounds, and never reject.
 */
export interface ConfigPeers {
  /** Gets the root with the highest version that any reachable peer has in force. */
  newestRoot(): Promise<StoredObject | undefined>;

  /**
   * Gets the text of a part.
   *
   * @param digest - The part's digest; the text is checked against it.
   * @returns The text, or undefined where no reachable peer holds it.
   */
  chunk(digest: string): Promise<string | undefined>;
}

/** Stands for a host that knows no peers. */
export const NO_PEERS: ConfigPeers = {
  newestRoot: () => Promise.resolve(undefined),
  chunk: () => Promise.resolve(undefined),
};
