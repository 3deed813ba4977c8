import { sha256Hex, type RoutingConfig } from '@camphorvane/core';
import type { z } from 'zod';
import type { ConfigPart } from './ConfigPart.ts';
import { bucketsFor, splitConfig } from './ConfigPart.ts';
import { manifestSchema, partSchema, rootSchema } from './configSchema.ts';

/** The kind of the object whose conditional update is the acceptance of a configuration. */
export const CONFIG_KIND = 'config';

/** The name of that object. */
export const ROOT_NAME = 'root';

/** The kind of the parts, which are named by the digest of their text. */
export const CHUNK_KIND = 'config-chunk';

/** The kind of earlier manifests, named by digest, against which an operator may have worked. */
export const MANIFEST_KIND = 'config-manifest';

/** Which parts make up one configuration. */
export type ConfigManifest = z.infer<typeof manifestSchema>;

/** One entry of a manifest. */
export type PartReference = ConfigManifest['parts'][number];

/** What the root holds: the configuration in force, and which ones went before it. */
export type ConfigRoot = z.infer<typeof rootSchema>;

/** A part as it is stored. */
export interface ConfigChunk extends PartReference {
  readonly text: string;
}

/** A configuration cut into what is stored. */
export interface ChunkedConfig {
  readonly manifest: ConfigManifest;
  readonly chunks: readonly ConfigChunk[];
}

/**
 * Cuts a configuration into chunks.
 *
 * @param config - The configuration.
 * @param currentBuckets - Buckets of the configuration it replaces, if there is one.
 * @returns The chunks and their manifest, the same for the same configuration and buckets.
 */
export function chunkConfig(config: RoutingConfig, currentBuckets?: number): ChunkedConfig {
  const buckets = bucketsFor(config.teams.length, currentBuckets);
  const chunks = splitConfig(config, buckets).map(({ name, part }) => {
    const text = stableJson(part);
    return { name, digest: sha256Hex(text), bytes: Buffer.byteLength(text), text };
  });
  const parts = chunks.map(({ name, digest, bytes }) => ({ name, digest, bytes }));
  return { manifest: { buckets, parts }, chunks };
}

/**
 * Gets a digest that is the same for configurations that say the same.
 *
 * @param config - The configuration.
 * @returns 64 hexadecimal characters.
 */
export function configDigest(config: RoutingConfig): string {
  return sha256Hex(
    splitConfig(config, 1)
      .map((entry) => stableJson(entry))
      .join('\n'),
  );
}

/**
 * Reads a part from its text.
 *
 * @param digest - The digest that the text must have.
 * @param text - The text, from the platform or from a peer.
 * @returns The part, or undefined where the text is another one or is not understood.
 */
export function readPart(digest: string, text: string): ConfigPart | undefined {
  if (sha256Hex(text) !== digest) return undefined;
  const parsed = partSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Reads a root.
 *
 * @param value - The value of the stored object.
 * @returns The root, or undefined where it is not understood.
 */
export function readRoot(value: unknown): ConfigRoot | undefined {
  const parsed = rootSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Gets the text under which a manifest is kept.
 *
 * @param manifest - The manifest.
 * @returns JSON, the same for the same manifest.
 */
export function manifestText(manifest: ConfigManifest): string {
  return stableJson(manifest);
}

/**
 * Reads a manifest from its text.
 *
 * @param digest - The digest that the text must have.
 * @param text - The text.
 * @returns The manifest, or undefined where the text is another one or is not understood.
 */
export function readManifest(digest: string, text: string): ConfigManifest | undefined {
  if (sha256Hex(text) !== digest) return undefined;
  const parsed = manifestSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
}

/** JSON with the keys of each object in alphabetical order. */
export function stableJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (typeof inner !== 'object' || inner === null || Array.isArray(inner)) return inner;
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)));
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
