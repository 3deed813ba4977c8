import type { RoutingConfig } from '@camphorvane/core';
import {
  CONFIG_KIND,
  ChunkReader,
  MANIFEST_KIND,
  ROOT_NAME,
  assembleConfig,
  parseManifest,
  parsePart,
  parseRoot,
  type ConfigManifest,
  type ConfigRoot,
  type ObjectStore,
  type ObjectVersion,
  type PlatformError,
} from '@camphorvane/store';
import type { ResultAsync, Result } from 'neverthrow';
import { err, errAsync, ok } from 'neverthrow';

/** Why a stored configuration could not be read. */
export type ReadError =
  | { readonly type: 'unavailable'; readonly message: string }
  | { readonly type: 'unreadable'; readonly message: string };

/** The configuration root in force and its version. */
export interface AcceptedRoot {
  readonly version: ObjectVersion;
  readonly root: ConfigRoot;
}

/** The configuration in force with its root and version. */
export interface AcceptedConfig extends AcceptedRoot {
  readonly config: RoutingConfig;
}

/**
 * Reads the configuration root.
 *
 * @param store - The platform's object store.
 * @returns The root, or undefined before the first configuration.
 */
export function readAcceptedRoot(
  store: ObjectStore,
): ResultAsync<AcceptedRoot | undefined, ReadError> {
  return store
    .get(CONFIG_KIND, ROOT_NAME)
    .mapErr(toReadError)
    .andThen((object): Result<AcceptedRoot | undefined, ReadError> => {
      if (object === undefined) return ok(undefined);
      const root = parseRoot(object.value);
      if (root !== undefined) return ok({ version: object.version, root });
      const message = `version ${object.version} has an unknown format`;
      return err({ type: 'unreadable', message });
    });
}

/**
 * Reads the whole configuration in force.
 *
 * @param store - The platform's object store.
 * @returns The configuration, or undefined before the first one.
 */
export function readAcceptedConfig(
  store: ObjectStore,
): ResultAsync<AcceptedConfig | undefined, ReadError> {
  return readAcceptedRoot(store).andThen((accepted) =>
    accepted === undefined
      ? ok(undefined)
      : readManifestConfig(store, accepted.root.manifest).map((config) => ({
          ...accepted,
          config,
        })),
  );
}

/**
 * Reads and assembles the parts of a manifest.
 *
 * @param store - The platform's object store.
 * @param manifest - The manifest.
 * @returns The configuration, or `unreadable` if a part is missing or damaged.
 */
export function readManifestConfig(
  store: ObjectStore,
  manifest: ConfigManifest,
): ResultAsync<RoutingConfig, ReadError> {
  return new ChunkReader(store)
    .read(manifest.parts.map((part) => part.digest))
    .mapErr(toReadError)
    .andThen((texts): Result<RoutingConfig, ReadError> => {
      const parts = manifest.parts.map(({ digest }) => parsePart(digest, texts.get(digest) ?? ''));
      const damaged = manifest.parts.filter((_, i) => parts[i] === undefined);
      if (damaged.length > 0)
        return err(unreadable(`part ${damaged[0]!.name} is missing or damaged`));
      return ok(assembleConfig(parts.flatMap((part) => (part === undefined ? [] : [part]))));
    });
}

/**
 * Reads an earlier configuration from the root's history.
 *
 * @param store - The platform's object store.
 * @param digest - The digest of its manifest.
 * @returns The configuration, or `unreadable` if its manifest or a part is missing or damaged.
 */
export function readArchivedConfig(
  store: ObjectStore,
  digest: string,
): ResultAsync<RoutingConfig, ReadError> {
  return readArchivedManifest(store, digest).andThen((manifest) =>
    manifest === undefined
      ? errAsync(unreadable('an earlier manifest is missing or damaged'))
      : readManifestConfig(store, manifest),
  );
}

/**
 * Reads the manifest of an earlier configuration.
 *
 * @param store - The platform's object store.
 * @param digest - The digest of the manifest.
 * @returns The manifest, or undefined if it is missing or damaged.
 */
export function readArchivedManifest(
  store: ObjectStore,
  digest: string,
): ResultAsync<ConfigManifest | undefined, ReadError> {
  return store
    .get(MANIFEST_KIND, digest)
    .mapErr(toReadError)
    .map((object) => parseManifest(digest, textOf(object?.value)));
}

/** Gets the text of a stored manifest, or an empty text if the value is malformed. */
function textOf(value: unknown): string {
  const text = (value as { readonly text?: unknown } | undefined | null)?.text;
  return typeof text === 'string' ? text : '';
}

function unreadable(message: string): ReadError {
  return { type: 'unreadable', message };
}

/**
 * Converts a platform error of a read.
 *
 * @param error - The platform error.
 * @returns `unavailable` in every case, since the platform gave no usable response.
 */
export function toReadError(error: PlatformError): ReadError {
  switch (error.type) {
    case 'unavailable':
    case 'invalid':
      return { type: 'unavailable', message: error.message };
    case 'over_budget':
      return { type: 'unavailable', message: 'the platform rate-limits calls' };
    case 'conflict':
      return { type: 'unavailable', message: 'the platform responded to a read with a conflict' };
    default:
      return error satisfies never;
  }
}
