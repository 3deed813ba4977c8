import { SHARE_RULES, type ShareRules } from '../../shares/ShareSettings.ts';
import type { ExplorableProtocol } from '../ExplorableProtocol.ts';
import { searchAll, searchRandomly } from '../search.ts';
import { shareProtocol } from './ShareProtocol.ts';
import type { ShareWorldOptions } from './ShareWorld.ts';
import { SHARE_MUTATIONS, SHARE_WORLD } from './worlds.ts';

function rulesOf(mutation: string | undefined): ShareRules {
  if (mutation === undefined) return SHARE_RULES;
  const rules = SHARE_MUTATIONS[mutation];
  if (rules === undefined) throw new Error(`unknown mutation ${mutation}`);
  return rules;
}

/** Gets the options for a number of hosts; all clocks but the first two are exact. */
function worldOf(hosts: number, mutation: string | undefined): ShareWorldOptions {
  const { clockRates } = SHARE_WORLD;
  const rates = Array.from({ length: hosts }, (_, i) => clockRates[i] ?? 1);
  return { ...SHARE_WORLD, clockRates: rates, rules: rulesOf(mutation) };
}

/** The share protocol of team rates, for the command line. */
export const EXPLORABLE_SHARES: ExplorableProtocol = {
  name: 'shares',
  mutations: Object.keys(SHARE_MUTATIONS),
  defaultHosts: 2,
  defaultDepth: 5,
  searchAll: (hosts, mutation, bounds) =>
    searchAll(shareProtocol(worldOf(hosts, mutation)), bounds),
  searchRandomly: (hosts, mutation, bounds) => {
    const world = { ...worldOf(hosts, mutation), maxEpochs: 6, maxRestarts: 3 };
    return searchRandomly(shareProtocol(world), bounds);
  },
};
