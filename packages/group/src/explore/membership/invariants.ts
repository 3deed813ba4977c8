import { GroupMember } from '../../membership/GroupMember.ts';
import type { MembershipRules } from '../../membership/MembershipSettings.ts';
import type { Invariant } from '../ExploredProtocol.ts';
import { keysFor, localTime, WORLD_SETTINGS, type World, type WorldHost } from './World.ts';

function memberOf(host: WorldHost, rules: MembershipRules): GroupMember {
  return new GroupMember(host.state, WORLD_SETTINGS, rules);
}

/** Gets the running hosts that would now act as the coordinator of a key. */
function coordinatorsOf(world: World, key: string, rules: MembershipRules): readonly string[] {
  return world.hosts
    .filter((host) => host.condition === 'running')
    .filter((host) => memberOf(host, rules).mayCoordinate(key, localTime(world, host)))
    .map((host) => host.state.self.host);
}

/**
 * Gets the invariants of the membership protocol.
 *
 * @param hosts - Number of hosts.
 * @param rules - Safety rules of the hosts, possibly mutated.
 * @returns The invariants.
 */
export function membershipInvariants(
  hosts: number,
  rules: MembershipRules,
): readonly Invariant<World>[] {
  const keys = keysFor(hosts);
  return [
    {
      name: 'a key has one coordinator',
      check: (world) => {
        const conflict = keys
          .map((key) => ({ key, at: coordinatorsOf(world, key, rules) }))
          .find(({ at }) => at.length > 1);
        return conflict && `${conflict.key} has coordinators ${conflict.at.join(' and ')}`;
      },
    },
    {
      name: 'the epoch of a host never decreases',
      check: (world) => {
        const host = world.hosts.find(
          ({ state, highestEpoch }) => (state.record?.epoch ?? 0) < highestEpoch,
        );
        return host && `${host.state.self.host} fell below epoch ${host.highestEpoch}`;
      },
    },
    {
      name: 'an epoch has one record',
      check: (world) => {
        const host = world.hosts.find(
          ({ state: { record } }) =>
            record !== undefined && world.nonces[record.epoch] !== record.nonce,
        );
        return host && `${host.state.self.host} differs in epoch ${host.state.record?.epoch}`;
      },
    },
    {
      name: 'an isolated host stops within T',
      check: (world) => {
        const host = world.hosts.find((one) => {
          const { isolatedSince } = one;
          if (isolatedSince === undefined || one.condition !== 'running') return false;
          const isolatedMs = (world.tick - isolatedSince) * one.rate;
          const members = one.state.record?.members.length ?? 0;
          // In a group of one, no other host could vouch or take over.
          if (members < 2 || isolatedMs < WORLD_SETTINGS.actForMs) return false;
          return memberOf(one, rules).view(localTime(world, one)).mayAct;
        });
        return host && `${host.state.self.host} still acts`;
      },
    },
  ];
}
