import {
  DEFAULT_SHARE_SETTINGS,
  SHARE_RULES,
  type ShareRules,
} from '../../shares/ShareSettings.ts';
import type { ShareWorldOptions } from './ShareWorld.ts';

/** Clock drift bound in simulations: large, so that a missing margin shows within few steps. */
const DRIFT = 0.1;

/** Two hosts with the fastest and the slowest clock allowed; the fast one coordinates first. */
export const SHARE_WORLD: ShareWorldOptions = {
  settings: { ...DEFAULT_SHARE_SETTINGS, ttlMs: 1000, driftBound: DRIFT },
  rules: SHARE_RULES,
  rate: { tokensPerSecond: 100, burstTokens: 100 },
  clockRates: [1 + DRIFT, 1 - DRIFT],
  ticks: [50, 1000],
  maxMessages: 3,
  maxEpochs: 3,
  maxRestarts: 1,
};

/** Sets of rules with one safeguard removed each; the search must find a violation in all. */
export const SHARE_MUTATIONS: Readonly<Record<string, ShareRules>> = {
  'counted-twice': { ...SHARE_RULES, deductsFirst: false },
  'no-expiry-check': { ...SHARE_RULES, checksExpiry: false },
  'no-drift-margin': { ...SHARE_RULES, expiryWait: (settings) => settings.ttlMs },
};
