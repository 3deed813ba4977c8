import { sha256Hex, type RoutingConfig } from '@camphorvane/core';
import type { z } from 'zod';
import type { ConfigPart } from './ConfigPart.ts';
import { bucketCountFor, splitConfig } from './ConfigPart.ts';
import { manifestSchema, partSchema, rootSchema } from './configSchema.ts';

/** Kind of the root object; a conditional update of it accepts a configuration. */
export const CONFIG_KIND = 'config';

/** Name of the root object. */
export const ROOT_NAME = 'root';

/** Kind of the chunk objects, which are named by the digest of their text. */
export const CHUNK_KIND = 'config-chunk';

/** Kind of earlier manifests, named by digest; an operator may have based a change on one of them. */
export const MANIFEST_KIND = 'config-manifest';

/** The list of the parts of one configuration. */
export type ConfigManifest = z.infer<typeof manifestSchema>;

/** One entry of a manifest. */
export type PartReference = ConfigManifest['parts'][number];

/** The value of the root object: the manifest of the accepted configuration, and earlier versions. */
export type ConfigRoot = z.infer<typeof rootSchema>;

/** A part in its stored form. */
export interface ConfigChunk extends PartReference {
  readonly text: string;
}

/** A configuration in its stored form. */
export interface ChunkedConfig {
  readonly manifest: ConfigManifest;
  readonly chunks: readonly ConfigChunk[];
}

/**
 * Splits a configuration into chunks.
 *
 * @param config - The configuration.
 * @param currentBuckets - Number of buckets of the configuration that it replaces, if any.
 * @returns The chunks and their manifest; deterministic for the same configuration and buckets.
 */
export function chunkConfig(config: RoutingConfig, currentBuckets?: number): ChunkedConfig {
  const buckets = bucketCountFor(config.teams.length, currentBuckets);
  const chunks = splitConfig(config, buckets).map(({ name, part }) => {
    const text = stableJson(part);
    return { name, digest: sha256Hex(text), bytes: Buffer.byteLength(text), text };
  });
  const parts = chunks.map(({ name, digest, bytes }) => ({ name, digest, bytes }));
  return { manifest: { buckets, parts }, chunks };
}

/**
 * Gets a digest that is equal for equivalent configurations.
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
 * Parses a part.
 *
 * @param digest - The digest that the text must have.
 * @param text - The text, from the platform or from a peer.
 * @returns The part, or undefined where the digest differs or the text can't be parsed.
 */
export function parsePart(digest: string, text: string): ConfigPart | undefined {
  if (sha256Hex(text) !== digest) return undefined;
  const parsed = partSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Parses a root.
 *
 * @param value - The value of the stored object.
 * @returns The root, or undefined where the value does not match the schema.
 */
export function parseRoot(value: unknown): ConfigRoot | undefined {
  const parsed = rootSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Serializes a manifest.
 *
 * @param manifest - The manifest.
 * @returns Deterministic JSON.
 */
export function serializeManifest(manifest: ConfigManifest): string {
  return stableJson(manifest);
}

/**
 * Parses a manifest.
 *
 * @param digest - The digest that the text must have.
 * @param text - The text.
 * @returns The manifest, or undefined where the digest differs or the text can't be parsed.
 */
export function parseManifest(digest: string, text: string): ConfigManifest | undefined {
  if (sha256Hex(text) !== digest) return undefined;
  const parsed = manifestSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
}

/** Serializes a value to JSON with sorted object keys. */
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
