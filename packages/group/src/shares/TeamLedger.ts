import type { Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import type { TeamReport } from './ShareMessage.ts';
import { type Share, SHARE_UNITS, type ShareSettings } from './ShareSettings.ts';
import { accrue, emptyBucket, pour, type TokenBucket } from './TokenBucket.ts';

/** Something granted of which it is not yet known whether the holder applied it. */
export interface PendingGrant {
  readonly share: Share;
  readonly tokens: Tokens;
}

/** What a steward knows of one holder of a team. */
export interface LedgerEntry {
  /** The most that the holder may have. */
  readonly share: Share;
  readonly level: number;
  readonly demand: number;
  readonly reportedAt: Millis;
  readonly pending?: PendingGrant;
  /** Whether the holder ever had a grant of the team. */
  readonly known: boolean;
  /** Id of the last gift that was counted. */
  readonly givenId: number;
}

/** A steward's account of one team: what is free, and who has the rest. */
export interface TeamLedger {
  readonly team: TeamId;
  /** Session under which the team was taken over; older reports prove nothing. */
  readonly session: number;
  /** Newest epoch under which this steward was known to be the only one since. */
  readonly epoch: number;
  /** Set while shares may exist that nobody has presented; the end by time, on this clock. */
  readonly recoveringUntil?: Millis;
  readonly free: Share;
  readonly bucket: TokenBucket;
  readonly entries: Readonly<Record<string, LedgerEntry>>;
}

/** Opens the account of a team whose shares others may still hold. */
export function openRecovering(
  team: TeamId,
  session: number,
  epoch: number,
  until: Millis,
  now: Millis,
): TeamLedger {
  const bucket = emptyBucket(now);
  return { team, session, epoch, recoveringUntil: until, free: 0, bucket, entries: {} };
}

/** Opens the account of a team in a group's first epoch, when nobody can hold anything. */
export function openFirst(
  team: TeamId,
  session: number,
  epoch: number,
  rate: TeamRate,
  now: Millis,
): TeamLedger {
  const bucket = { level: rate.burstTokens, at: now };
  return { team, session, epoch, free: SHARE_UNITS, bucket, entries: {} };
}

/** Gets the sum of what holders may have. */
export function grantedShare(ledger: TeamLedger): Share {
  return Object.values(ledger.entries).reduce((sum, entry) => sum + entry.share, 0);
}

/** Lets the free bucket gain up to now. */
export function refreshedLedger(
  ledger: TeamLedger,
  rate: TeamRate,
  settings: ShareSettings,
  now: Millis,
): TeamLedger {
  return { ...ledger, bucket: accrue(ledger.bucket, ledger.free, rate, settings, now) };
}

/** Makes the entry of a holder that has nothing. */
export function emptyEntry(now: Millis): LedgerEntry {
  return {
    ...{ share: 0, level: 0, demand: 0 },
    ...{ reportedAt: now, givenId: 0, known: false },
  };
}

/** Replaces one entry. */
export function withEntry(ledger: TeamLedger, holder: string, entry: LedgerEntry): TeamLedger {
  return { ...ledger, entries: { ...ledger.entries, [holder]: entry } };
}

/**
 * Ends the wait for shares that nobody presented: they are free now, without tokens, since whoever
 * had them may have spent them.
 *
 * @param isComplete - True where every host that ever was in the group has listed what it had: a
 *   team that none of them ever held is new, and its whole burst is there.
 */
export function withRecoveryEnded(
  ledger: TeamLedger,
  rate: TeamRate,
  isComplete: boolean,
): TeamLedger {
  if (ledger.recoveringUntil === undefined) return ledger;
  const free = SHARE_UNITS - grantedShare(ledger);
  const isNew = isComplete && Object.values(ledger.entries).every((entry) => !entry.known);
  const level = isNew ? rate.burstTokens : ledger.bucket.level;
  return { ...ledger, recoveringUntil: undefined, free, bucket: { ...ledger.bucket, level } };
}

/** Frees what a holder had once its grant has surely run out; its tokens are lost. */
export function withoutHolder(ledger: TeamLedger, holder: string): TeamLedger {
  const entry = ledger.entries[holder];
  if (entry === undefined) return ledger;
  const { [holder]: gone, ...entries } = ledger.entries;
  return { ...ledger, free: ledger.free + entry.share, entries };
}

/**
 * Settles the last grant once the holder's next message shows whether it applied it. What it did
 * not apply it never will, since it takes only replies to its latest message.
 */
export function settled(
  ledger: TeamLedger,
  holder: string,
  applied: boolean,
  rate: TeamRate,
): TeamLedger {
  const entry = ledger.entries[holder];
  if (entry?.pending === undefined) return ledger;
  const { pending, ...rest } = entry;
  if (applied) return withEntry(ledger, holder, rest);
  const free = ledger.free + pending.share;
  const bucket = pour(ledger.bucket, pending.tokens, free, rate);
  const back = { ...rest, share: rest.share - pending.share };
  return withEntry({ ...ledger, free, bucket }, holder, back);
}

function entryOf(report: TeamReport, givenId: number, now: Millis): LedgerEntry {
  const { share, level, demand, known } = report;
  return { share, level, demand, known, reportedAt: now, givenId };
}

/** Whether a report could be taken in; `void` where what it claims is not known to be granted. */
export interface Recorded {
  readonly ledger: TeamLedger;
  readonly verdict: 'known' | 'void' | 'present_again';
}

/** Takes in the share of a holder that this account does not know. */
function recordUnknown(
  ledger: TeamLedger,
  holder: string,
  report: TeamReport,
  session: number,
  now: Millis,
): Recorded {
  const entry = entryOf(report, 0, now);
  const empty = withEntry(ledger, holder, { ...entry, share: 0, level: 0 });
  if (report.share === 0) return { ledger: empty, verdict: 'known' };
  if (ledger.recoveringUntil === undefined) return { ledger: empty, verdict: 'void' };
  // A claim sent before the team was taken over may be older than the end of the grant, and the
  // earlier steward may have given the same share to somebody else since: it must be made anew.
  if (session < ledger.session) return { ledger, verdict: 'present_again' };
  if (grantedShare(ledger) + ledger.free + report.share > SHARE_UNITS) {
    return { ledger: empty, verdict: 'void' };
  }
  return { ledger: withEntry(ledger, holder, entry), verdict: 'known' };
}

/**
 * Takes in what a holder reports.
 *
 * @param ledger - The account, as of now, with the holder's last grant settled.
 * @param session - The newest session that the holder had learnt when it sent the report.
 * @returns The account then, and whether the claimed share stands.
 */
export function recorded(
  ledger: TeamLedger,
  holder: string,
  report: TeamReport,
  session: number,
  rate: TeamRate,
  now: Millis,
): Recorded {
  const known = ledger.entries[holder];
  if (known === undefined) return recordUnknown(ledger, holder, report, session, now);
  if (report.share > known.share) {
    return { ledger: withEntry(ledger, holder, { ...known, level: 0 }), verdict: 'void' };
  }
  const { given } = report;
  const isNew = given !== undefined && given.id > known.givenId;
  const free = ledger.free + known.share - report.share;
  const bucket = pour(ledger.bucket, isNew ? given.tokens : 0, free, rate);
  const entry = entryOf(report, isNew ? given.id : known.givenId, now);
  return { ledger: withEntry({ ...ledger, free, bucket }, holder, entry), verdict: 'known' };
}
