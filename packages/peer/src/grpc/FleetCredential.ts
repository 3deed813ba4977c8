import { createHmac, timingSafeEqual } from 'node:crypto';
import type { HostId } from '@camphorvane/core';
import type { PeerIdentity } from './peerProtocol.ts';

/**
 * The secret that all hosts of a fleet share.
 *
 * The secret itself never travels: a sender shows a keyed digest of who it is and whom it speaks
 * to. Somebody who takes over a host's address would otherwise be handed the secret by the next
 * caller, and could then speak for the whole fleet.
 */
export class FleetCredential {
  private readonly secret: string;

  /** @param secret - The secret of the settings; any text that is not empty. */
  constructor(secret: string) {
    if (secret === '') throw new Error('the fleet credential must not be empty');
    this.secret = secret;
  }

  /**
   * Gets what a sender shows to one receiver.
   *
   * @param from - The sender.
   * @param to - The receiver.
   * @returns A keyed digest in hexadecimal.
   */
  tokenFor(from: PeerIdentity, to: HostId): string {
    return createHmac('sha256', this.secret)
      .update(JSON.stringify([from.host, from.incarnation, from.protocol, to]))
      .digest('hex');
  }

  /**
   * Tells whether a shown token is right, in a time that does not depend on how wrong it is.
   *
   * @param token - What the sender showed.
   * @param from - Whom the sender claims to be.
   * @param to - The receiver.
   * @returns True where sender and receiver have the same secret.
   */
  accepts(token: string, from: PeerIdentity, to: HostId): boolean {
    const expected = Buffer.from(this.tokenFor(from, to));
    const shown = Buffer.from(token);
    return shown.length === expected.length && timingSafeEqual(shown, expected);
  }
}
