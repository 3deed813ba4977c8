import type { Millis, TeamRate, Tokens } from '@camphorvane/core';
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
  /** Holders whose tokens are needed here, the fullest first. */
  readonly givers: readonly string[];
}

/** What a holder may be thought to have now. */
export interface Estimate {
  readonly holder: string;
  readonly level: number;
  /** What it can spare beyond its own demand of the next moment. */
  readonly spare: number;
  readonly wanted: Tokens;
}

function demandOf(entry: LedgerEntry | undefined, ctx: AllocationContext): number {
  if (entry === undefined) return 0;
  const age = ctx.now - entry.reportedAt;
  return entry.demand * Math.exp(-age / ctx.settings.demandMs);
}

/**
 * Gets the share that suits a holder's demand.
 *
 * Load: skewed callers, and idle teams that come back at any host. Demand alone would leave a host
 * without anything at the moment of its first request, and every small team would move its shares
 * with each request; a part of the rate therefore counts as demand spread evenly. An idle team lies
 * spread over all members, so that no host's death takes more of it than that host's part.
 */
export function targetOf(ledger: TeamLedger, holder: string, ctx: AllocationContext): Share {
  const { members, rate, settings } = ctx;
  if (!members.includes(holder)) return 0;
  const even = (settings.evenPart * rate.tokensPerSecond) / members.length;
  const weights = members.map((member) => even + demandOf(ledger.entries[member], ctx));
  const sum = weights.reduce((a, b) => a + b, 0);
  const own = even + demandOf(ledger.entries[holder], ctx);
  return Math.floor((SHARE_UNITS * own) / sum);
}

/** Estimates what each other holder has now. */
export function estimates(
  ledger: TeamLedger,
  holder: string,
  ctx: AllocationContext,
): readonly Estimate[] {
  const { rate, settings, now } = ctx;
  return Object.entries(ledger.entries).flatMap(([other, entry]) => {
    if (other === holder) return [];
    const bucket = { level: entry.level, at: entry.reportedAt };
    const { level } = accrue(bucket, entry.share, rate, settings, now);
    const keep = (demandOf(entry, ctx) * settings.keepMs) / 1000;
    const isFresh = now - entry.reportedAt <= settings.wantMs;
    const spare = Math.max(0, Math.floor(level - keep));
    return [{ holder: other, level, spare, wanted: isFresh ? entry.wanted : 0 }];
  });
}

function giversFor(lack: Tokens, others: readonly Estimate[]): readonly string[] {
  const ordered = others.filter((one) => one.spare > 0).sort((a, b) => b.spare - a.spare);
  const before = ordered.map((_, i) =>
    ordered.slice(0, i).reduce((sum, one) => sum + one.spare, 0),
  );
  return ordered.filter((_, i) => (before[i] ?? 0) < lack).map((one) => one.holder);
}

/** Gets the share whose part of the burst has room for what a holder has and wants. */
function shareFor(tokens: Tokens, rate: TeamRate): Share {
  if (rate.burstTokens <= 0) return 0;
  return Math.min(SHARE_UNITS, Math.ceil((tokens / rate.burstTokens) * SHARE_UNITS));
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

/** Grants more to a holder that wants tokens or has less than its target. */
function raise(
  ledger: TeamLedger,
  holder: string,
  goal: Share,
  ctx: AllocationContext,
): Allocation {
  const { rate, rules } = ctx;
  const entry = ledger.entries[holder] as LedgerEntry;
  const add = Math.max(0, Math.min(goal - entry.share, ledger.free));
  const share = entry.share + add;
  const room = Math.max(0, capOf(share, rate) - entry.level);
  const free = ledger.free - add;
  // What stays must fit the share that stays, or the two together would hold more than the burst.
  const least = Math.max(0, ledger.bucket.level - capOf(free, rate));
  const part = ledger.free === 0 ? 0 : (ledger.bucket.level * add) / ledger.free;
  const wish = Math.max(least, part, entry.wanted);
  const tokens = Math.floor(Math.min(wish, room, ledger.bucket.level));
  const level = Math.min(ledger.bucket.level - tokens, capOf(free, rate));
  const pending = add > 0 || tokens > 0 ? { share: add, tokens } : undefined;
  const kept = rules.deductsFirst ? { free, bucket: { ...ledger.bucket, level } } : {};
  const next = withEntry({ ...ledger, ...kept }, holder, { ...entry, share, pending });
  const others = estimates(ledger, holder, ctx);
  const lack = Math.max(0, entry.wanted - tokens);
  const there = others.reduce((sum, one) => sum + one.spare, 0);
  // While shares may exist that nobody has presented yet, nobody knows what the team has.
  const isKnown = ledger.recoveringUntil === undefined;
  const exhausted = isKnown && lack > 0 && there < lack;
  const givers = lack > 0 && !exhausted ? giversFor(lack, others) : [];
  const isBehind = goal - share > ctx.settings.smallestMove;
  const excess = isBehind ? holdersInExcess(ledger, holder, ctx) : [];
  const grant = { team: ledger.team, share, tokens, take: 0, reset: false, exhausted };
  return { ledger: next, grant, givers: [...givers, ...excess] };
}

/** Asks a holder for what others want of it, or for what it has beyond its target. */
function lower(
  ledger: TeamLedger,
  holder: string,
  target: Share,
  claimed: Tokens,
  ctx: AllocationContext,
): Allocation {
  const { rate, settings, members } = ctx;
  const entry = ledger.entries[holder] as LedgerEntry;
  const keep = (demandOf(entry, ctx) * settings.keepMs) / 1000;
  const spare = members.includes(holder) ? Math.max(0, entry.level - keep) : entry.level;
  const take = Math.floor(Math.min(claimed, spare));
  const claimedShare = Math.max(0, shareFor(claimed, rate) - ledger.free);
  const floor = Math.min(entry.share, shareFor(entry.level - take, rate));
  const goal = claimed > 0 ? Math.max(floor, entry.share - claimedShare) : target;
  const share = Math.min(entry.share, goal);
  const grant = { team: ledger.team, share, tokens: 0, take, reset: false, exhausted: false };
  return { ledger, grant, givers: [] };
}

/**
 * Decides what one holder gets or gives back.
 *
 * Load: a team near its rate, whose callers move between hosts. A request that the whole team has
 * tokens for must not be refused because they lie elsewhere, so wants go before targets; small
 * differences from the target stay, since moving them costs messages and gains nothing.
 *
 * @param ledger - The account, with the holder's report taken in.
 * @returns The account then, the word to the holder, and whose tokens are needed.
 */
export function allocate(ledger: TeamLedger, holder: string, ctx: AllocationContext): Allocation {
  const entry = ledger.entries[holder] as LedgerEntry;
  const target = targetOf(ledger, holder, ctx);
  if (entry.wanted > 0) {
    const needed = shareFor(entry.level + entry.wanted, ctx.rate);
    return raise(ledger, holder, Math.max(target, needed), ctx);
  }
  const wanted = estimates(ledger, holder, ctx).reduce((sum, one) => sum + one.wanted, 0);
  const claimed = Math.max(0, wanted - ledger.bucket.level);
  if (claimed > 0) return lower(ledger, holder, target, claimed, ctx);
  const { smallestMove } = ctx.settings;
  const leaves = !ctx.members.includes(holder) && entry.share > 0;
  if (leaves || entry.share - target > smallestMove) {
    return lower(ledger, holder, target, 0, ctx);
  }
  return raise(ledger, holder, target, ctx);
}
