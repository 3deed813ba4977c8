import { sha256Hex, type Millis } from '@camphorvane/core';
import {
  CHUNK_KIND,
  MANIFEST_KIND,
  serializeManifest,
  type StoredObject,
} from '@camphorvane/store';
import type { ApplyContext } from './ApplyContext.ts';
import { readAcceptedRoot, readArchivedManifest, type AcceptedRoot } from './readAcceptedConfig.ts';

/**
 * Milliseconds for which an unreferenced blob is kept: one hour. It protects an apply that has written
 * its parts but not yet its root, and tolerates clock skew of minutes between operators' machines.
 */
export const UNUSED_BLOB_GRACE_MS: Millis = 3_600_000;

/**
 * Deletes parts and manifests that neither the root nor its history references.
 *
 * Each run covers one sixteenth of the blobs, those whose digests start with one hexadecimal digit, to
 * bound the size of its lists; the runs of a day together cover all digits. The writer of a new root
 * runs it, and stops if a newer root exists, whose references may differ. After a failure, the blobs are
 * kept until a later run.
 *
 * @param context - The object store and the clock.
 * @param accepted - The root that was just written.
 */
export async function deleteUnusedBlobs(
  context: ApplyContext,
  accepted: AcceptedRoot,
): Promise<void> {
  const prefix = sha256Hex(accepted.root.changeId).slice(0, 1);
  const usedNames = await usedDigests(context, accepted);
  if (usedNames === undefined) return;
  const chunks = await context.store.list(CHUNK_KIND, prefix);
  const manifests = await context.store.list(MANIFEST_KIND, prefix);
  const unused = [...chunks.unwrapOr([]), ...manifests.unwrapOr([])].filter(
    (object) => !usedNames.has(object.name) && isPastGrace(object, context.clock.wall()),
  );
  if (unused.length === 0 || !(await isNewestRoot(context, accepted))) return;
  // The expected version keeps a blob that was rewritten after it was listed.
  await unused.reduce(async (previous, object) => {
    await previous;
    await context.store.remove(object.kind, object.name, object.version);
  }, Promise.resolve());
}

/** Gets all digests that the root and its history reference, or undefined if a read failed. */
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

function isPastGrace(object: StoredObject, now: Millis): boolean {
  const { touchedAt } = object.value as { readonly touchedAt?: unknown };
  return typeof touchedAt === 'number' && now - touchedAt > UNUSED_BLOB_GRACE_MS;
}

async function isNewestRoot(context: ApplyContext, accepted: AcceptedRoot): Promise<boolean> {
  const newest = await readAcceptedRoot(context.store);
  return newest.unwrapOr(undefined)?.version === accepted.version;
}
