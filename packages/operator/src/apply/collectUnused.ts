import { sha256Hex, type Millis } from '@camphorvane/core';
import {
  CHUNK_KIND,
  MANIFEST_KIND,
  serializeManifest,
  type StoredObject,
} from '@camphorvane/store';
import type { ApplyContext } from './ApplyContext.ts';
import { readAcceptedRoot, readArchivedManifest, type AcceptedRoot } from './readAccepted.ts';

/**
 * How long a blob that nothing refers to is kept, in milliseconds: an hour. An operator's run that
 * has written its parts and not yet its root must not lose them; the hour also covers clocks of
 * operators' machines that differ by minutes.
 */
export const GRACE_MS: Millis = 3_600_000;

/**
 * Removes parts and manifests that neither the root nor its history refers to.
 *
 * One run looks at a sixteenth of the parts, by the first digit of their digests, so that it costs
 * one bounded list; the runs of a day go through all. It is done by whoever has just written the
 * root, and given up as soon as somebody else has: then the references may be others. Failing
 * changes nothing but that the blobs stay a while longer.
 *
 * @param context - The platform and the time.
 * @param accepted - The root that was just written.
 */
export async function collectUnused(context: ApplyContext, accepted: AcceptedRoot): Promise<void> {
  const prefix = sha256Hex(accepted.root.changeId).slice(0, 1);
  const used = await usedDigests(context, accepted);
  if (used === undefined) return;
  const chunks = await context.store.list(CHUNK_KIND, prefix);
  const manifests = await context.store.list(MANIFEST_KIND, prefix);
  const unused = [...chunks.unwrapOr([]), ...manifests.unwrapOr([])].filter(
    (object) => !used.has(object.name) && isOld(object, context.clock.wall()),
  );
  if (unused.length === 0 || !(await isStillNewest(context, accepted))) return;
  // The condition on the version saves a blob that somebody has written anew since it was listed.
  await unused.reduce(async (before, object) => {
    await before;
    await context.store.remove(object.kind, object.name, object.version);
  }, Promise.resolve());
}

/** All digests that the root and the manifests of its history name; undefined if one is unread. */
async function usedDigests(
  context: ApplyContext,
  { root }: AcceptedRoot,
): Promise<ReadonlySet<string> | undefined> {
  const manifests = await Promise.all(
    root.history.map((entry) => readArchivedManifest(context.store, entry.manifestDigest)),
  );
  if (manifests.some((manifest) => manifest.isErr())) return undefined;
  const earlier = manifests.flatMap((manifest) => manifest.unwrapOr(undefined)?.parts ?? []);
  return new Set([
    sha256Hex(serializeManifest(root.manifest)),
    ...root.history.map((entry) => entry.manifestDigest),
    ...[...root.manifest.parts, ...earlier].map((part) => part.digest),
  ]);
}

function isOld(object: StoredObject, now: Millis): boolean {
  const { touchedAt } = object.value as { readonly touchedAt?: unknown };
  return typeof touchedAt === 'number' && now - touchedAt > GRACE_MS;
}

async function isStillNewest(context: ApplyContext, accepted: AcceptedRoot): Promise<boolean> {
  const newest = await readAcceptedRoot(context.store);
  return newest.unwrapOr(undefined)?.version === accepted.version;
}
