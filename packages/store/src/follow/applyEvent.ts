import type { StoredObject, WatchEvent } from '../ObjectStore.ts';

/**
 * Applies a change that a watch reported to a copy of a kind.
 *
 * @param objects - The copy, by name.
 * @param event - The change; one that is older than the copy's object changes nothing.
 * @returns The new copy.
 */
export function applyEvent(
  objects: ReadonlyMap<string, StoredObject>,
  event: WatchEvent,
): ReadonlyMap<string, StoredObject> {
  const name = event.type === 'put' ? event.object.name : event.name;
  const version = event.type === 'put' ? event.object.version : event.version;
  const known = objects.get(name);
  if (known !== undefined && known.version > version) return objects;
  const next = new Map(objects);
  if (event.type === 'put') next.set(name, event.object);
  else next.delete(name);
  return next;
}
