import type { Clock, HostId, Millis } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import type { PeerAddress, PeerLink, PeerRequest, PeerResponse } from '@camphorvane/peer';
import type { ConfigFollower, ConfigPeers, StoredObject } from '@camphorvane/store';
import type { GroupGate } from './ports.ts';

/** Timeout of a request to a peer, in milliseconds. */
const PEER_TIMEOUT_MS: Millis = 1_000;

/** Milliseconds between checks of the age of the platform's last confirmation. */
const CHECK_INTERVAL_MS: Millis = 500;

/**
 * Age above which the platform's confirmation is stale, in milliseconds. It exceeds the duration of
 * one watch request, so that peers are asked only while the platform does not answer.
 */
const STALE_AFTER_MS: Millis = 2_000;

/** Peer requests that concern the configuration. */
export type ConfigRequest = Extract<
  PeerRequest,
  { readonly type: 'config_version' | 'config_root' | 'config_chunk' }
>;

/** Dependencies of a {@link ConfigRelay}. */
export interface ConfigRelayOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  readonly link: PeerLink;
}

/**
 * Distributes the configuration between hosts while the platform does not answer.
 *
 * A host that starts during an outage fetches the newest version from its peers. A majority of the
 * group that knows of no newer version replaces the platform's confirmation.
 */
export class ConfigRelay implements ConfigPeers {
  private readonly options: ConfigRelayOptions;

  /** @param options - Dependencies of the relay. */
  constructor(options: ConfigRelayOptions) {
    this.options = options;
  }

  /** Fetches the root object with the highest version in force at any reachable peer. */
  async newestRoot(): Promise<StoredObject | undefined> {
    const answers = await this.askAllPeers({ type: 'config_root' });
    return answers
      .map((res) => (res.type === 'config_root' ? res.object : undefined))
      .filter((object) => object !== undefined)
      .sort((a, b) => b.version - a.version)[0];
  }

  /** Fetches the text of a configuration chunk from the first peer in the group that has it. */
  async chunk(digest: string): Promise<string | undefined> {
    const answers = await this.askAllPeers({ type: 'config_chunk', digest });
    return answers
      .map((res) => (res.type === 'config_chunk' ? res.text : undefined))
      .find((text) => text !== undefined);
  }

  /** Answers a peer from the configuration in force on this host. */
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

  /** Has a majority of the group confirm the version while the platform's confirmation is stale. */
  run(follower: ConfigFollower, signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'config.relay', clock: this.options.clock, signal }, async () => {
      await sleep(this.options.clock, CHECK_INTERVAL_MS, signal);
      const now = this.options.clock.now();
      const isStale = now - (follower.confirmedAt() ?? -Infinity) > STALE_AFTER_MS;
      if (isStale && !signal.aborted) await this.confirmByMajority(follower);
    });
  }

  private async confirmByMajority(follower: ConfigFollower): Promise<void> {
    const requestedAt = this.options.clock.now();
    const members = this.options.group.members().length;
    const answers = await this.askAllPeers({ type: 'config_version' });
    const versions = answers.flatMap((res) => (res.type === 'config_version' ? [res.version] : []));
    if (versions.length + 1 <= members / 2) return;
    follower.recordMajorityVersion(Math.max(follower.knownVersion(), ...versions), requestedAt);
  }

  private async askAllPeers(req: PeerRequest): Promise<readonly PeerResponse[]> {
    const peers = this.options.group
      .members()
      .filter((member) => member.host !== this.options.self)
      .map((member): PeerAddress => ({ host: member.host, address: member.peerAddress }));
    const answers = await Promise.all(
      peers.map((peer) => this.options.link.ask(peer, req, PEER_TIMEOUT_MS)),
    );
    return answers.flatMap((answer) => (answer.isOk() ? [answer.value] : []));
  }
}
