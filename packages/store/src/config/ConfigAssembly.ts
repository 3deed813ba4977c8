import type { RoutingConfig } from '@camphorvane/core';
import { assembleConfig, type ConfigPart } from './ConfigPart.ts';
import { readPart, type ConfigManifest } from './ConfigRoot.ts';

interface HeldPart {
  readonly text: string;
  readonly part: ConfigPart;
}

/** The parts that a host holds, by digest; parts that stay the same keep their objects. */
export class ConfigAssembly {
  private held = new Map<string, HeldPart>();

  /** Gets the number of parts held. */
  getSize(): number {
    return this.held.size;
  }

  /** Gets the text of a part, to pass it on to a peer. */
  getText(digest: string): string | undefined {
    return this.held.get(digest)?.text;
  }

  /**
   * Gets what a manifest needs and is not held.
   *
   * @param manifest - The manifest.
   * @returns Digests.
   */
  missing(manifest: ConfigManifest): readonly string[] {
    return manifest.parts.map((part) => part.digest).filter((digest) => !this.held.has(digest));
  }

  /**
   * Takes a part in.
   *
   * @param digest - Its digest.
   * @param text - Its text.
   * @returns False where the text has another digest or is not understood; it is not kept then.
   */
  add(digest: string, text: string): boolean {
    const part = readPart(digest, text);
    if (part === undefined) return false;
    this.held.set(digest, { text, part });
    return true;
  }

  /**
   * Puts a configuration together and lets go of the parts that it does not use.
   *
   * @param manifest - The manifest.
   * @returns The configuration, or undefined while parts are missing.
   */
  assemble(manifest: ConfigManifest): RoutingConfig | undefined {
    const held = manifest.parts.map(({ digest }) => this.held.get(digest));
    if (held.includes(undefined)) return undefined;
    this.held = new Map(manifest.parts.map(({ digest }) => [digest, this.held.get(digest)!]));
    return assembleConfig(held.map((entry) => entry!.part));
  }
}
