import type { HostId } from '@camphorvane/core';
import type { ResultAsync } from 'neverthrow';
import type { HostEntry, PlatformError } from './ObjectStore.ts';

/** The platform's list of hosts, as a host writes its own entry in it. */
export interface HostRegistry {
  /**
   * Announces a host; repeated as its heartbeat.
   *
   * @param entry - The host as it shall be listed.
   * @returns Nothing, or why the platform did not take it.
   */
  announce(entry: HostEntry): ResultAsync<void, PlatformError>;

  /**
   * Takes a host off the list; one that is not listed counts as taken off.
   *
   * @param id - The host.
   * @returns Nothing, or why the platform did not take it.
   */
  withdraw(id: HostId): ResultAsync<void, PlatformError>;
}
