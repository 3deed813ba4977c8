import { GroupMember } from '../../membership/GroupMember.ts';
import type { MembershipRules } from '../../membership/MembershipSettings.ts';
import type { Invariant } from '../ExploredProtocol.ts';
import { keysFor, localTime, WORLD_SETTINGS, type World, type WorldHost } from './World.ts';

function memberOf(host: WorldHost, rules: MembershipRules): GroupMember {
  return new GroupMember(host.state, WORLD_SETTINGS, rules);
}

/** Gets the hosts that would act as a key's steward if asked now; a paused one is not asked. */
function stewards(world: World, key: string, rules: MembershipRules): readonly string[] {
  return world.hosts
    .filter((host) => host.condition === 'running')
    .filter((host) => memberOf(host, rules).maySteward(key, localTime(world, host)))
    .map((host) => host.state.self.host);
}

/**
 * Gets the rules that membership must keep.
 *
 * @param hosts - How many hosts there are.
 * @param rules - The rules that the hosts run by, mutated or not.
 * @returns The invariants.
 */
export function membershipInvariants(
  hosts: number,
  rules: MembershipRules,
): readonly Invariant<World>[] {
  const keys = keysFor(hosts);
  return [
    {
      name: 'a key has one steward',
      check: (world) => {
        const doubled = keys
          .map((key) => ({ key, at: stewards(world, key, rules) }))
          .find(({ at }) => at.length > 1);
        return doubled && `${doubled.key} has stewards ${doubled.at.join(' and ')}`;
      },
    },
    {
      name: 'an epoch never goes back',
      check: (world) => {
        const host = world.hosts.find(
          ({ state, highestEpoch }) => (state.record?.epoch ?? 0) < highestEpoch,
        );
        return host && `${host.state.self.host} went back from epoch ${host.highestEpoch}`;
      },
    },
    {
      name: 'an epoch names one record',
      check: (world) => {
        const host = world.hosts.find(
          ({ state: { record } }) =>
            record !== undefined && world.nonces[record.epoch] !== record.nonce,
        );
        return host && `${host.state.self.host} has another epoch ${host.state.record?.epoch}`;
      },
    },
    {
      name: 'a host cut off from all stops within T',
      check: (world) => {
        const host = world.hosts.find((one) => {
          const { aloneSince } = one;
          if (aloneSince === undefined || one.condition !== 'running') return false;
          const spent = (world.tick - aloneSince) * one.rate;
          const members = one.state.record?.members.length ?? 0;
          // A group of one has nobody to ask and nobody who could take over.
          if (members < 2 || spent < WORLD_SETTINGS.actForMs) return false;
          return memberOf(one, rules).view(localTime(world, one)).mayAct;
        });
        return host && `${host.state.self.host} still acts`;
      },
    },
  ];
}
