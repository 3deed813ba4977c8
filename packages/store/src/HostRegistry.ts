import type { HostId } from '@camphorvane/core';
import type { ResultAsync } from 'neverthrow';
import type { HostEntry, PlatformError } from './ObjectStore.ts';

/** The platform's host list, in which each host writes its own entry. */
export interface HostRegistry {
  /**
   * Registers a host; repeated as its heartbeat.
   *
   * @param entry - The entry to list.
   * @returns Nothing, or the error of the platform.
   */
  register(entry: HostEntry): ResultAsync<void, PlatformError>;

  /**
   * Removes a host from the list; succeeds where it is not listed.
   *
   * @param id - The host.
   * @returns Nothing, or the error of the platform.
   */
  deregister(id: HostId): ResultAsync<void, PlatformError>;
}
