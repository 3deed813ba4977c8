import type { Refusal, TeamConfig } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import type { KeyRing } from '@camphorvane/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConfigSource } from './ports.ts';

/** A caller whose key is in force. */
export interface AuthenticatedCaller {
  readonly team: TeamConfig;
  /** Digest of the key, by which a later withdrawal finds the request; none on open routes. */
  readonly keyDigest: string | undefined;
}

/** Finds the team of a key, where the host can tell whether the key is still in force. */
export class Authenticator {
  private readonly config: ConfigSource;

  private readonly keys: KeyRing;

  /**
   * @param config - The configuration in force.
   * @param keys - The keys in force.
   */
  constructor(config: ConfigSource, keys: KeyRing) {
    this.config = config;
    this.keys = keys;
  }

  /**
   * Finds the caller of a key.
   *
   * A host that is cut off from the platform and from a majority of its group can't learn that a
   * key was withdrawn. A key must stop working within seconds, so such a host refuses.
   *
   * @param key - The key as shown, if one was.
   * @returns The caller, or why there is none.
   */
  authenticate(key: string | undefined): Result<AuthenticatedCaller, Refusal> {
    if (key === undefined) {
      return err(notRun('missing_key', 'Show a key as "Authorization: Bearer <key>".'));
    }
    if (!this.config.isConfirmed()) {
      const text = 'This host cannot tell at present whether keys are still in force.';
      return err(notRun('key_state_unconfirmed', text, 1_000));
    }
    const found = this.keys.lookup(key);
    switch (found.type) {
      case 'team':
        return ok({ team: found.team, keyDigest: found.digest });
      case 'withdrawn':
        return err(notRun('key_withdrawn', 'The key was withdrawn.'));
      case 'unknown':
        return err(notRun('unknown_key', 'The key is not in force.'));
      default:
        return found satisfies never;
    }
  }
}
