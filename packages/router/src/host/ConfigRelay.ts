import type { Clock, HostId, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { PeerAddress, PeerLink, PeerRequest, PeerResponse } from '@camphorvane/peer';
import type { ConfigFollower, ConfigPeers, StoredObject } from '@camphorvane/store';
import type { GroupGate } from './ports.ts';

/** Milliseconds to wait for a peer. */
const ASK_TIMEOUT_MS: Millis = 1_000;

/** Milliseconds between two looks at how old the platform's confirmation is. */
const CHECK_PERIOD_MS: Millis = 500;

/**
 * Age at which the platform's confirmation counts as late, in milliseconds: above the length of one
 * watch, so that peers are asked only while the platform does not answer.
 */
const LATE_AFTER_MS: Millis = 2_000;

/** Requests between hosts about the configuration. */
export type ConfigRequest = Extract<
  PeerRequest,
  { readonly type: 'config_version' | 'config_root' | 'config_chunk' }
>;

/** What a relay is made of. */
export interface ConfigRelayOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  readonly link: PeerLink;
}

/**
 * Passes the configuration between hosts while the platform does not answer.
 *
 * A host that starts during an outage gets the newest version from its peers, and a majority that
 * knows of no newer version stands in for the platform's confirmation.
 */
export class ConfigRelay implements ConfigPeers {
  private readonly options: ConfigRelayOptions;

  /** @param options - What the relay is made of. */
  constructor(options: ConfigRelayOptions) {
    this.options = options;
  }

  /** Gets the root with the highest version that any reachable peer has in force. */
  async newestRoot(): Promise<StoredObject | undefined> {
    const answers = await this.askAll({ type: 'config_root' });
    return answers
      .map((res) => (res.type === 'config_root' ? res.object : undefined))
      .filter((object) => object !== undefined)
      .sort((a, b) => b.version - a.version)[0];
  }

  /** Gets the text of a part from the first peer that holds it. */
  async chunk(digest: string): Promise<string | undefined> {
    const answers = await this.askAll({ type: 'config_chunk', digest });
    return answers
      .map((res) => (res.type === 'config_chunk' ? res.text : undefined))
      .find((text) => text !== undefined);
  }

  /** Answers a peer from what this host has in force. */
  answer(req: ConfigRequest, follower: ConfigFollower): PeerResponse {
    switch (req.type) {
      case 'config_version':
        return { type: 'config_version', version: follower.knownVersion() };
      case 'config_root':
        return { type: 'config_root', object: follower.root() };
      case 'config_chunk':
        return { type: 'config_chunk', text: follower.chunk(req.digest) };
      default:
        return req satisfies never;
    }
  }

  /** Has the version confirmed by a majority for as long as the platform does not do so. */
  async run(follower: ConfigFollower, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.options.clock, CHECK_PERIOD_MS, signal);
      const now = this.options.clock.now();
      const isLate = now - (follower.confirmedAt() ?? -Infinity) > LATE_AFTER_MS;
      if (isLate && !signal.aborted) await this.confirmByMajority(follower);
    }
  }

  private async confirmByMajority(follower: ConfigFollower): Promise<void> {
    const askedAt = this.options.clock.now();
    const members = this.options.group.members().length;
    const answers = await this.askAll({ type: 'config_version' });
    const versions = answers.flatMap((res) => (res.type === 'config_version' ? [res.version] : []));
    if (versions.length + 1 <= members / 2) return;
    follower.noteMajorityConfirmed(Math.max(follower.knownVersion(), ...versions), askedAt);
  }

  private async askAll(req: PeerRequest): Promise<readonly PeerResponse[]> {
    const peers = this.options.group
      .members()
      .filter((mate) => mate.host !== this.options.self)
      .map((mate): PeerAddress => ({ host: mate.host, address: mate.peerAddress }));
    const answers = await Promise.all(
      peers.map((peer) => this.options.link.ask(peer, req, ASK_TIMEOUT_MS)),
    );
    return answers.flatMap((answer) => (answer.isOk() ? [answer.value] : []));
  }
}
