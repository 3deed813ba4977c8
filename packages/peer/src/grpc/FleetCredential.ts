import { createHmac, timingSafeEqual } from 'node:crypto';
import type { HostId } from '@camphorvane/core';
import type { PeerIdentity } from './peerProtocol.ts';

/**
 * The secret shared by all hosts of a fleet.
 *
 * The secret itself is never sent: a sender presents a keyed digest of its identity and of the
 * receiver. Otherwise an attacker who takes over a host's address would get the secret with the next
 * call and could impersonate every host of the fleet.
 */
export class FleetCredential {
  private readonly secret: string;

  /** @param secret - The secret from the settings; any non-empty string. */
  constructor(secret: string) {
    if (secret === '') throw new Error('the fleet credential must not be empty');
    this.secret = secret;
  }

  /**
   * Gets the token that a sender presents to one receiver.
   *
   * @param from - The sender.
   * @param to - The receiver.
   * @returns An HMAC-SHA256 in hexadecimal.
   */
  createToken(from: PeerIdentity, to: HostId): string {
    return createHmac('sha256', this.secret)
      .update(JSON.stringify([from.host, from.incarnation, from.protocol, to]))
      .digest('hex');
  }

  /**
   * Verifies a token with a constant-time comparison.
   *
   * @param token - The token that the sender presented.
   * @param from - The identity that the sender claims.
   * @param to - The receiver.
   * @returns True where the token matches the identity, the receiver and this fleet's secret.
   */
  verifyToken(token: string, from: PeerIdentity, to: HostId): boolean {
    const expected = Buffer.from(this.createToken(from, to));
    const shown = Buffer.from(token);
    return shown.length === expected.length && timingSafeEqual(shown, expected);
  }
}
