import { MEMBERSHIP_RULES, type MembershipRules } from '../../membership/MembershipSettings.ts';
import type { ExplorableProtocol } from '../ExplorableProtocol.ts';
import { searchAll, searchRandomly } from '../search.ts';
import { membershipProtocol } from './MembershipProtocol.ts';
import { MEMBERSHIP_MUTATIONS } from './mutations.ts';

/** Faults in one trace of the search of everything: pairs find what single ones do not. */
const EXHAUSTIVE_FAULTS = 2;

/** Faults in one random run, which is long enough to recover from each. */
const RANDOM_FAULTS = 8;

function rulesOf(mutation: string | undefined): MembershipRules {
  if (mutation === undefined) return MEMBERSHIP_RULES;
  const rules = MEMBERSHIP_MUTATIONS[mutation];
  if (rules === undefined) throw new Error(`no mutation ${mutation}`);
  return rules;
}

/** Membership as the command line offers it. */
export const EXPLORABLE_MEMBERSHIP: ExplorableProtocol = {
  name: 'membership',
  mutations: Object.keys(MEMBERSHIP_MUTATIONS),
  defaultHosts: 3,
  defaultDepth: 8,
  searchAll: (hosts, mutation, bounds) => {
    const rules = rulesOf(mutation);
    const grain = 'rounds';
    return searchAll(
      membershipProtocol({ hosts, rules, grain, faults: EXHAUSTIVE_FAULTS }),
      bounds,
    );
  },
  searchRandomly: (hosts, mutation, bounds) => {
    const rules = rulesOf(mutation);
    const grain = 'events';
    return searchRandomly(
      membershipProtocol({ hosts, rules, grain, faults: RANDOM_FAULTS }),
      bounds,
    );
  },
};
