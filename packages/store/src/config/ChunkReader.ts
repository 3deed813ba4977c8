import { sha256Hex } from '@camphorvane/core';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import type { ObjectStore, PlatformError, StoredObject } from '../ObjectStore.ts';
import { CHUNK_KIND } from './ConfigRoot.ts';
import { storedTextSchema } from './configSchema.ts';

/** Chunk texts by digest. */
export type ChunkTexts = ReadonlyMap<string, string>;

/**
 * Maximum number of chunks that are read one by one. More are read by up to 16 lists, one for each
 * first digit of the digests: a host that starts with 20,000 teams needs some 300 chunks, and single
 * reads of them would use up the host's share of the platform's read rate for a minute.
 */
const MAX_SINGLE_READS = 16;

/** Reads chunks from the platform and verifies their digests. */
export class ChunkReader {
  private readonly store: ObjectStore;

  /** @param store - The platform. */
  constructor(store: ObjectStore) {
    this.store = store;
  }

  /**
   * Reads chunks.
   *
   * @param digests - Digests of the chunks.
   * @returns The chunks that exist and match their digest, or the error of the platform.
   */
  read(digests: readonly string[]): ResultAsync<ChunkTexts, PlatformError> {
    const wanted = [...new Set(digests)];
    return new ResultAsync(
      wanted.length <= MAX_SINGLE_READS ? this.readSingly(wanted) : this.readByPrefix(wanted),
    );
  }

  private async readSingly(wanted: readonly string[]): Promise<Result<ChunkTexts, PlatformError>> {
    const results = await Promise.all(
      wanted.map((digest) => this.store.get(CHUNK_KIND, digest).map((found) => [found])),
    );
    return verifiedTexts(results, wanted);
  }

  /** Lists sequentially, so that only one large response is in memory at a time. */
  private async readByPrefix(
    wanted: readonly string[],
  ): Promise<Result<ChunkTexts, PlatformError>> {
    const prefixes = [...new Set(wanted.map((digest) => digest.slice(0, 1)))].sort();
    const texts = new Map<string, string>();
    let next = 0;
    while (next < prefixes.length) {
      const found = verifiedTexts([await this.store.list(CHUNK_KIND, prefixes[next]!)], wanted);
      if (found.isErr()) return err(found.error);
      found.value.forEach((text, digest) => texts.set(digest, text));
      next += 1;
    }
    return ok(texts);
  }
}

type Found = readonly (StoredObject | undefined)[];

function verifiedTexts(
  results: readonly Result<Found, PlatformError>[],
  wanted: readonly string[],
): Result<ChunkTexts, PlatformError> {
  const names = new Set(wanted);
  const texts = new Map<string, string>();
  const failed = results.find((result) => result.isErr());
  if (failed?.isErr()) return err(failed.error);
  results
    .flatMap((result) => result.unwrapOr([]))
    .filter((object) => object !== undefined && names.has(object.name))
    .forEach((object) => {
      const text = verifiedText(object!);
      if (text !== undefined) texts.set(object!.name, text);
    });
  return ok(texts);
}

function verifiedText(object: StoredObject): string | undefined {
  const blob = storedTextSchema.safeParse(object.value);
  if (!blob.success) return undefined;
  return sha256Hex(blob.data.text) === object.name ? blob.data.text : undefined;
}
