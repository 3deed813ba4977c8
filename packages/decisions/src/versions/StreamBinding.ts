import type { SoftwareVersion } from '@camphorvane/core';

/**
 * Which engines a stream may run on. What two versions of an engine's software write doesn't fit together, so the
 * version that brought the first event binds the stream, until it ends or its caller begins anew.
 */
export type StreamBinding =
  /** No event has been delivered, or the engines of the pool all run the same software. */
  | { readonly type: 'free' }
  | { readonly type: 'bound'; readonly version: string }
  /** Events of a version that is not known have been delivered; nothing fits to them for certain. */
  | { readonly type: 'unbindable' };

/** The binding of a stream without events. */
export const FREE_STREAM: StreamBinding = { type: 'free' };

/**
 * Gets the binding of a stream by the engine that brought its first event.
 *
 * @param version - The version of the engine's software; absent where the engines of its pool have no versions.
 * @returns The binding.
 */
export function bindingTo(version: SoftwareVersion | undefined): StreamBinding {
  switch (version?.type) {
    case undefined:
      return FREE_STREAM;
    case 'known':
      return { type: 'bound', version: version.name };
    case 'unknown':
      return { type: 'unbindable' };
    default:
      return version satisfies never;
  }
}

/**
 * Tells whether a stream may run on an engine.
 *
 * @param binding - The stream's binding; absent for a request that is no stream.
 * @param version - The version of the engine's software; an unknown one equals none.
 * @returns True if it may.
 */
export function mayRunOn(
  binding: StreamBinding | undefined,
  version: SoftwareVersion | undefined,
): boolean {
  switch (binding?.type) {
    case undefined:
    case 'free':
      return true;
    case 'bound':
      return version?.type === 'known' && version.name === binding.version;
    case 'unbindable':
      return false;
    default:
      return binding satisfies never;
  }
}
