import type { RoutingConfig } from '@camphorvane/core';
import { assembleConfig, type ConfigPart } from './ConfigPart.ts';
import { parsePart, type ConfigManifest } from './ConfigRoot.ts';

interface CachedPart {
  readonly text: string;
  readonly part: ConfigPart;
}

/** A cache of configuration parts by digest; unchanged parts keep their object identity. */
export class ConfigPartCache {
  private cached = new Map<string, CachedPart>();

  /** Gets the number of cached parts. */
  getSize(): number {
    return this.cached.size;
  }

  /** Gets the text of a cached part, to serve it to a peer. */
  getText(digest: string): string | undefined {
    return this.cached.get(digest)?.text;
  }

  /**
   * Gets the parts of a manifest that are not cached.
   *
   * @param manifest - The manifest.
   * @returns The digests of the parts.
   */
  getMissing(manifest: ConfigManifest): readonly string[] {
    return manifest.parts.map((part) => part.digest).filter((digest) => !this.cached.has(digest));
  }

  /**
   * Adds a part.
   *
   * @param digest - The part's digest.
   * @param text - The part's text.
   * @returns False where the text has another digest or can't be parsed; it is not added then.
   */
  add(digest: string, text: string): boolean {
    const part = parsePart(digest, text);
    if (part === undefined) return false;
    this.cached.set(digest, { text, part });
    return true;
  }

  /**
   * Assembles a configuration and evicts the parts that it does not use.
   *
   * @param manifest - The manifest.
   * @returns The configuration, or undefined while parts are missing.
   */
  assemble(manifest: ConfigManifest): RoutingConfig | undefined {
    const cached = manifest.parts.map(({ digest }) => this.cached.get(digest));
    if (cached.includes(undefined)) return undefined;
    this.cached = new Map(manifest.parts.map(({ digest }) => [digest, this.cached.get(digest)!]));
    return assembleConfig(cached.map((entry) => entry!.part));
  }
}
