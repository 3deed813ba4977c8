import type { Refusal, TeamConfig } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import type { KeyRing } from '@camphorvane/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConfigSource } from './ports.ts';

/** A caller authenticated by a key that is in force. */
export interface AuthenticatedCaller {
  readonly team: TeamConfig;
  /**
   * Digest of the key, used to abort the request when the key is withdrawn; undefined on routes
   * without keys.
   */
  readonly keyDigest: string | undefined;
}

/** Authenticates callers by their API keys. */
export class Authenticator {
  private readonly config: ConfigSource;

  private readonly keys: KeyRing;

  /**
   * @param config - Source of the configuration, which must be confirmed as current.
   * @param keys - The keys of the configuration in force.
   */
  constructor(config: ConfigSource, keys: KeyRing) {
    this.config = config;
    this.keys = keys;
  }

  /**
   * Authenticates the caller of a request.
   *
   * A withdrawn key must stop working within seconds. A host that is partitioned from the platform
   * and from the majority of its group can't learn of withdrawals, so it refuses all keys.
   *
   * @param key - The key sent with the request, if any.
   * @returns The authenticated caller, or the refusal.
   */
  authenticate(key: string | undefined): Result<AuthenticatedCaller, Refusal> {
    if (key === undefined) {
      return err(notRun('missing_key', 'Send an API key as "Authorization: Bearer <key>".'));
    }
    if (!this.config.isConfirmed()) {
      const text = 'This host cannot currently confirm that its list of API keys is up to date.';
      return err(notRun('key_state_unconfirmed', text, 1_000));
    }
    const found = this.keys.lookup(key);
    switch (found.type) {
      case 'team':
        return ok({ team: found.team, keyDigest: found.digest });
      case 'withdrawn':
        return err(notRun('key_withdrawn', 'The API key was withdrawn.'));
      case 'unknown':
        return err(notRun('unknown_key', 'The API key is not in force.'));
      default:
        return found satisfies never;
    }
  }
}
