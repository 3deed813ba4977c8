import { contain } from '@camphorvane/core';
import type { DeploymentFormat, ServerRecord, StoredObject } from '@camphorvane/store';
import { eventLog } from '../observe/EventLog.ts';

const log = eventLog('deployment');

/** Store entry with the server parsed from it; undefined where the entry is invalid. */
export interface ServerEntry {
  readonly object: StoredObject;
  readonly server: ServerRecord | undefined;
}

/**
 * Reads an entry; one that describes no usable server is logged and left out, and the others hold.
 *
 * @param format - Format of the entry.
 * @param object - The stored entry.
 * @returns The entry with its server.
 */
export function readServerEntry(format: DeploymentFormat, object: StoredObject): ServerEntry {
  const read = contain('deployment.server', () => format.parseServer(object));
  if (read?.isErr()) log('server_unreadable', { server: object.name, problem: read.error });
  return { object, server: read?.unwrapOr(undefined) };
}
