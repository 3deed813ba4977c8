import type { Millis, TeamRate } from '@camphorvane/core';
import type { TeamGrant } from './ShareMessage.ts';
import {
  getBucketCapacity,
  type Share,
  SHARE_UNITS,
  type ShareRules,
  type ShareSettings,
} from './ShareSettings.ts';
import { accrueTokens } from './TokenBucket.ts';
import { type LedgerEntry, type TeamLedger, withEntry } from './TeamLedger.ts';

/** Weight of a holder with a full bucket; an empty bucket adds 1. */
const FULL_WEIGHT = 0.5;

/** What an allocation depends on besides the ledger. */
export interface AllocationContext {
  readonly rate: TeamRate;
  readonly settings: ShareSettings;
  readonly rules: ShareRules;
  /** Keys of the members that are not leaving. */
  readonly members: readonly string[];
  readonly now: Millis;
}

/** Result of an allocation for one holder. */
export interface Allocation {
  /** The ledger with the allocation applied. */
  readonly ledger: TeamLedger;
  readonly grant: TeamGrant;
  /** Holders above their target share while this one is below its own. */
  readonly givers: readonly string[];
}

function levelOf(entry: LedgerEntry, { rate, settings, now }: AllocationContext): number {
  const bucket = { level: entry.level, at: entry.reportedAt };
  return accrueTokens(bucket, entry.share, rate, settings, now).level;
}

function demandOf(entry: LedgerEntry | undefined, ctx: AllocationContext): number {
  if (entry === undefined) return 0;
  const age = ctx.now - entry.reportedAt;
  return entry.demand * Math.exp(-age / ctx.settings.demandTimeConstantMs);
}

/** Gets the fill level of a holder's bucket at present, from 0 to 1. */
function fullnessOf(entry: LedgerEntry | undefined, ctx: AllocationContext): number {
  const cap = entry === undefined ? 0 : getBucketCapacity(entry.share, ctx.rate);
  return entry === undefined || cap <= 0 ? 0 : Math.min(1, levelOf(entry, ctx) / cap);
}

/**
 * Gets the target share of a holder.
 *
 * Part of the rate counts as demand spread evenly: with measured demand alone, a host would have no
 * tokens for its first request, and small teams would move their shares with every request. The
 * shares of an idle team are spread over all members, so that a crash blocks only one host's part.
 *
 * A full bucket loses what it earns even while other hosts of the team are short of tokens; holders
 * with emptier buckets therefore get a larger weight, and tokens move with the shares.
 */
export function getTargetShare(ledger: TeamLedger, holder: string, ctx: AllocationContext): Share {
  const { members, rate, settings } = ctx;
  if (!members.includes(holder)) return 0;
  const even = (settings.evenFraction * rate.tokensPerSecond) / members.length;
  const weightOf = (member: string): number => {
    const entry = ledger.entries[member];
    return (even + demandOf(entry, ctx)) * (FULL_WEIGHT + 1 - fullnessOf(entry, ctx));
  };
  const sum = members.reduce((total, member) => total + weightOf(member), 0);
  return Math.floor((SHARE_UNITS * weightOf(holder)) / sum);
}

/** Gets the other holders whose share exceeds their target. */
function holdersInExcess(
  ledger: TeamLedger,
  holder: string,
  ctx: AllocationContext,
): readonly string[] {
  const { minMove } = ctx.settings;
  return Object.entries(ledger.entries)
    .filter(([other]) => other !== holder)
    .filter(([other, entry]) => entry.share > getTargetShare(ledger, other, ctx) + minMove)
    .map(([other]) => other);
}

/** Raises the share of a holder towards its target, from the free part. */
function raise(
  ledger: TeamLedger,
  holder: string,
  target: Share,
  ctx: AllocationContext,
): Allocation {
  const { rate, rules } = ctx;
  const entry = ledger.entries[holder] as LedgerEntry;
  const added = Math.max(0, Math.min(target - entry.share, ledger.free));
  const share = entry.share + added;
  const room = Math.max(0, getBucketCapacity(share, rate) - entry.level);
  const free = ledger.free - added;
  // Tokens move with their share: the free tokens must fit the remaining free share, or both
  // together would exceed the burst.
  const proportional = ledger.free === 0 ? 0 : (ledger.bucket.level * added) / ledger.free;
  const tokens = Math.floor(Math.min(proportional, room, ledger.bucket.level));
  const level = Math.min(ledger.bucket.level - tokens, getBucketCapacity(free, rate));
  const pending = added > 0 || tokens > 0 ? { share: added, tokens } : undefined;
  const kept = rules.deductsFirst ? { free, bucket: { ...ledger.bucket, level } } : {};
  const next = withEntry({ ...ledger, ...kept }, holder, { ...entry, share, pending });
  const isBehind = target - share > ctx.settings.minMove;
  const givers = isBehind ? holdersInExcess(ledger, holder, ctx) : [];
  return { ledger: next, grant: { team: ledger.team, share, tokens, reset: false }, givers };
}

/**
 * Raises or cuts the share of one holder, as the callers of a team move between hosts.
 *
 * Small deviations from the target stay, since moving them costs messages and gains nothing.
 *
 * @param ledger - The ledger, with the holder's report applied.
 * @param holder - Key of the holder.
 * @param ctx - Rate, settings and members.
 * @returns The updated ledger, the grant, and the holders that should give up some of their share.
 */
export function allocate(ledger: TeamLedger, holder: string, ctx: AllocationContext): Allocation {
  const entry = ledger.entries[holder] as LedgerEntry;
  const target = getTargetShare(ledger, holder, ctx);
  const leaves = !ctx.members.includes(holder) && entry.share > 0;
  if (!leaves && entry.share - target <= ctx.settings.minMove) {
    return raise(ledger, holder, target, ctx);
  }
  const grant = { team: ledger.team, share: target, tokens: 0, reset: false };
  return { ledger, grant, givers: [] };
}
