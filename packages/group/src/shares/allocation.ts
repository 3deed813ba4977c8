import type { Millis, TeamRate } from '@camphorvane/core';
import type { TeamGrant } from './ShareMessage.ts';
import {
  capOf,
  type Share,
  SHARE_UNITS,
  type ShareRules,
  type ShareSettings,
} from './ShareSettings.ts';
import { accrue } from './TokenBucket.ts';
import { type LedgerEntry, type TeamLedger, withEntry } from './TeamLedger.ts';

/** Weight of a full bucket in the choice of shares; an empty one has one more. */
const FULL_WEIGHT = 0.5;

/** What an allocation depends on besides the account. */
export interface AllocationContext {
  readonly rate: TeamRate;
  readonly settings: ShareSettings;
  readonly rules: ShareRules;
  /** Keys of the hosts that belong to the group and stay. */
  readonly members: readonly string[];
  readonly now: Millis;
}

/** What was decided for one holder. */
export interface Allocation {
  readonly ledger: TeamLedger;
  readonly grant: TeamGrant;
  /** Holders that have more than suits them while this one has less. */
  readonly givers: readonly string[];
}

function levelOf(entry: LedgerEntry, { rate, settings, now }: AllocationContext): number {
  const bucket = { level: entry.level, at: entry.reportedAt };
  return accrue(bucket, entry.share, rate, settings, now).level;
}

function demandOf(entry: LedgerEntry | undefined, ctx: AllocationContext): number {
  if (entry === undefined) return 0;
  const age = ctx.now - entry.reportedAt;
  return entry.demand * Math.exp(-age / ctx.settings.demandMs);
}

/** Gets how full a holder's bucket is by now, from 0 to 1. */
function fullnessOf(entry: LedgerEntry | undefined, ctx: AllocationContext): number {
  const cap = entry === undefined ? 0 : capOf(entry.share, ctx.rate);
  return entry === undefined || cap <= 0 ? 0 : Math.min(1, levelOf(entry, ctx) / cap);
}

/**
 * Gets the share that suits a holder's demand.
 *
 * Load: skewed callers, and idle teams that come back at any host. Demand alone would leave a host
 * without anything at the moment of its first request, and every small team would move its shares
 * with each request; a part of the rate therefore counts as demand spread evenly. An idle team lies
 * spread over all members, so that no host's death takes more of it than that host's part.
 *
 * What a full bucket earns is lost, while the whole team would not be full: shares therefore lean
 * towards hosts whose buckets are emptier, and their tokens come with them.
 */
export function targetOf(ledger: TeamLedger, holder: string, ctx: AllocationContext): Share {
  const { members, rate, settings } = ctx;
  if (!members.includes(holder)) return 0;
  const even = (settings.evenPart * rate.tokensPerSecond) / members.length;
  const weightOf = (member: string): number => {
    const entry = ledger.entries[member];
    return (even + demandOf(entry, ctx)) * (FULL_WEIGHT + 1 - fullnessOf(entry, ctx));
  };
  const sum = members.reduce((total, member) => total + weightOf(member), 0);
  return Math.floor((SHARE_UNITS * weightOf(holder)) / sum);
}

/** Gets the holders that have more than suits their demand. */
function holdersInExcess(
  ledger: TeamLedger,
  holder: string,
  ctx: AllocationContext,
): readonly string[] {
  const { smallestMove } = ctx.settings;
  return Object.entries(ledger.entries)
    .filter(([other]) => other !== holder)
    .filter(([other, entry]) => entry.share > targetOf(ledger, other, ctx) + smallestMove)
    .map(([other]) => other);
}

/** Grants more to a holder that has less than its target. */
function raise(
  ledger: TeamLedger,
  holder: string,
  target: Share,
  ctx: AllocationContext,
): Allocation {
  const { rate, rules } = ctx;
  const entry = ledger.entries[holder] as LedgerEntry;
  const add = Math.max(0, Math.min(target - entry.share, ledger.free));
  const share = entry.share + add;
  const room = Math.max(0, capOf(share, rate) - entry.level);
  const free = ledger.free - add;
  // Tokens go with their share: what stays must fit the share that stays, or the two together
  // would hold more than the burst.
  const part = ledger.free === 0 ? 0 : (ledger.bucket.level * add) / ledger.free;
  const tokens = Math.floor(Math.min(part, room, ledger.bucket.level));
  const level = Math.min(ledger.bucket.level - tokens, capOf(free, rate));
  const pending = add > 0 || tokens > 0 ? { share: add, tokens } : undefined;
  const kept = rules.deductsFirst ? { free, bucket: { ...ledger.bucket, level } } : {};
  const next = withEntry({ ...ledger, ...kept }, holder, { ...entry, share, pending });
  const isBehind = target - share > ctx.settings.smallestMove;
  const givers = isBehind ? holdersInExcess(ledger, holder, ctx) : [];
  return { ledger: next, grant: { team: ledger.team, share, tokens, reset: false }, givers };
}

/**
 * Decides what one holder gets or gives back.
 *
 * Load: a team whose callers move between hosts. Small differences from the target stay, since
 * moving them costs messages and gains nothing.
 *
 * @param ledger - The account, with the holder's report taken in.
 * @returns The account then, the word to the holder, and who is to give up some of its share.
 */
export function allocate(ledger: TeamLedger, holder: string, ctx: AllocationContext): Allocation {
  const entry = ledger.entries[holder] as LedgerEntry;
  const target = targetOf(ledger, holder, ctx);
  const leaves = !ctx.members.includes(holder) && entry.share > 0;
  if (!leaves && entry.share - target <= ctx.settings.smallestMove) {
    return raise(ledger, holder, target, ctx);
  }
  const grant = { team: ledger.team, share: target, tokens: 0, reset: false };
  return { ledger, grant, givers: [] };
}
