import { DEFAULT_SHARES, SHARE_RULES, type ShareRules } from '../../shares/ShareSettings.ts';
import type { ShareWorldOptions } from './ShareWorld.ts';

/** Bound on drift in explored worlds: large, so that few steps show what a margin is for. */
const DRIFT = 0.1;

/** Two hosts with the slowest and the fastest clock allowed; the slow one is steward first. */
export const SHARE_WORLD: ShareWorldOptions = {
  settings: { ...DEFAULT_SHARES, ttlMs: 1000, driftBound: DRIFT },
  rules: SHARE_RULES,
  rate: { tokensPerSecond: 100, burstTokens: 100 },
  clockRates: [1 + DRIFT, 1 - DRIFT],
  ticks: [50, 1000],
  maxMessages: 3,
  maxEpochs: 3,
  maxRestarts: 1,
};

/** Rules with one safeguard taken away each; a search that finds no fault in them proves nothing. */
export const SHARE_MUTATIONS: Readonly<Record<string, ShareRules>> = {
  'counted-twice': { ...SHARE_RULES, deductsFirst: false },
  'no-expiry-check': { ...SHARE_RULES, checksExpiry: false },
  'no-drift-margin': { ...SHARE_RULES, expiryWait: (settings) => settings.ttlMs },
};
