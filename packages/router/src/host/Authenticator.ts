import type { Clock, Millis, Refusal, TeamConfig } from '@camphorvane/core';
import { notRun, sha256Hex } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConfigSource } from './ports.ts';

/** A caller whose key is in force. */
export interface AuthenticatedCaller {
  readonly team: TeamConfig;
  /** Digest of the key, by which a later withdrawal finds the request. */
  readonly keyDigest: string;
}

/**
 * Longest time for which a host trusts its configuration without a confirmation, in milliseconds.
 *
 * A host that is cut off can't learn that a key was withdrawn. A key must stop within seconds, so
 * after this time the host refuses instead of letting a withdrawn key pass.
 */
export const CONFIRMATION_LIFE_MS: Millis = 5_000;

/** Finds the team of a key. */
export class Authenticator {
  private readonly config: ConfigSource;

  private readonly clock: Clock;

  private teams: ReadonlyMap<string, TeamConfig> = new Map();

  /**
   * @param config - The configuration in force.
   * @param clock - Judges how old its confirmation is.
   */
  constructor(config: ConfigSource, clock: Clock) {
    this.config = config;
    this.clock = clock;
  }

  /**
   * Takes the teams of a configuration into force.
   *
   * @param teams - All teams.
   */
  setTeams(teams: readonly TeamConfig[]): void {
    this.teams = new Map(teams.flatMap((team) => team.keyDigests.map((d) => [d, team] as const)));
  }

  /** Tells whether the key with a digest is in force. */
  isInForce(keyDigest: string): boolean {
    return this.teams.has(keyDigest);
  }

  /**
   * Finds the caller of a key.
   *
   * @param key - The key as shown, if one was.
   * @returns The caller, or why there is none.
   */
  authenticate(key: string | undefined): Result<AuthenticatedCaller, Refusal> {
    if (key === undefined) {
      return err(notRun('missing_key', 'Show a key as "Authorization: Bearer <key>".'));
    }
    if (!this.isConfirmed()) {
      return err(
        notRun(
          'key_state_unconfirmed',
          'This host cannot tell at present whether keys are still in force.',
          1_000,
        ),
      );
    }
    // The digest is looked up, not the key: the time a lookup takes tells nothing about a key.
    const keyDigest = sha256Hex(key);
    const team = this.teams.get(keyDigest);
    if (team === undefined) return err(notRun('unknown_key', 'The key is not in force.'));
    return ok({ team, keyDigest });
  }

  private isConfirmed(): boolean {
    const at = this.config.confirmedAt();
    return at !== undefined && this.clock.now() - at <= CONFIRMATION_LIFE_MS;
  }
}
