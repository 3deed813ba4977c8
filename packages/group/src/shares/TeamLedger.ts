import type { Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';
import type { TeamReport } from './ShareMessage.ts';
import { type Share, SHARE_UNITS, type ShareSettings } from './ShareSettings.ts';
import { accrueTokens, createEmptyBucket, addTokens, type TokenBucket } from './TokenBucket.ts';

/** A grant of which it is not yet known whether the holder applied it. */
export interface PendingGrant {
  readonly share: Share;
  readonly tokens: Tokens;
}

/** Entry of one holder in the ledger of a team. */
export interface LedgerEntry {
  /** Upper bound of the share that the holder has. */
  readonly share: Share;
  readonly level: number;
  readonly demand: number;
  readonly reportedAt: Millis;
  readonly pending?: PendingGrant;
  /** Whether the holder ever had a grant of the team. */
  readonly known: boolean;
  /** Id of the last return of tokens that was counted. */
  readonly givenId: number;
}

/** A coordinator's ledger of one team: the free part, and the shares of the holders. */
export interface TeamLedger {
  readonly team: TeamId;
  /** Session of the takeover of the team; reports of earlier sessions prove nothing. */
  readonly session: number;
  /** Newest epoch up to which this host is known to have been the only coordinator since then. */
  readonly epoch: number;
  /** Set while unreported shares may exist: when they have expired, on this host's clock. */
  readonly recoveringUntil?: Millis;
  readonly free: Share;
  readonly bucket: TokenBucket;
  readonly entries: Readonly<Record<string, LedgerEntry>>;
}

/** Opens the ledger of a team whose shares other hosts may still hold. */
export function openRecoveringLedger(
  team: TeamId,
  session: number,
  epoch: number,
  until: Millis,
  now: Millis,
): TeamLedger {
  const bucket = createEmptyBucket(now);
  return { team, session, epoch, recoveringUntil: until, free: 0, bucket, entries: {} };
}

/** Opens the ledger of a team in a group's first epoch, when no host can hold a share. */
export function openFirstLedger(
  team: TeamId,
  session: number,
  epoch: number,
  rate: TeamRate,
  now: Millis,
): TeamLedger {
  const bucket = { level: rate.burstTokens, at: now };
  return { team, session, epoch, free: SHARE_UNITS, bucket, entries: {} };
}

/** Gets the sum of the granted shares. */
export function sumGrantedShares(ledger: TeamLedger): Share {
  return Object.values(ledger.entries).reduce((sum, entry) => sum + entry.share, 0);
}

/** Accrues the tokens of the free bucket up to `now`. */
export function accrueLedger(
  ledger: TeamLedger,
  rate: TeamRate,
  settings: ShareSettings,
  now: Millis,
): TeamLedger {
  return { ...ledger, bucket: accrueTokens(ledger.bucket, ledger.free, rate, settings, now) };
}

/** Creates the entry of a holder without a share. */
export function createEmptyEntry(now: Millis): LedgerEntry {
  return {
    ...{ share: 0, level: 0, demand: 0 },
    ...{ reportedAt: now, givenId: 0, known: false },
  };
}

/** Returns a copy of the ledger with one entry replaced. */
export function withEntry(ledger: TeamLedger, holder: string, entry: LedgerEntry): TeamLedger {
  return { ...ledger, entries: { ...ledger.entries, [holder]: entry } };
}

/**
 * Ends the recovery of a ledger: unreported shares become free, without tokens, since their holders
 * may have spent these.
 *
 * @param ledger - The ledger.
 * @param rate - Rate and burst of the team.
 * @param isComplete - Whether every host that was ever in the group has listed its shares; a team
 *   that none of them ever held is new and gets its whole burst.
 */
export function withRecoveryEnded(
  ledger: TeamLedger,
  rate: TeamRate,
  isComplete: boolean,
): TeamLedger {
  if (ledger.recoveringUntil === undefined) return ledger;
  const free = SHARE_UNITS - sumGrantedShares(ledger);
  const isNew = isComplete && Object.values(ledger.entries).every((entry) => !entry.known);
  const level = isNew ? rate.burstTokens : ledger.bucket.level;
  return { ...ledger, recoveringUntil: undefined, free, bucket: { ...ledger.bucket, level } };
}

/** Frees the share of a holder whose grant must have expired; its tokens are lost. */
export function withoutHolder(ledger: TeamLedger, holder: string): TeamLedger {
  const entry = ledger.entries[holder];
  if (entry === undefined) return ledger;
  const { [holder]: removed, ...entries } = ledger.entries;
  return { ...ledger, free: ledger.free + entry.share, entries };
}

/**
 * Settles the pending grant once the holder's next message shows whether it was applied. A grant
 * not applied by then never will be, since a holder accepts only the reply to its latest message.
 */
export function settlePendingGrant(
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
  const bucket = addTokens(ledger.bucket, pending.tokens, free, rate);
  const reverted = { ...rest, share: rest.share - pending.share };
  return withEntry({ ...ledger, free, bucket }, holder, reverted);
}

function entryOf(report: TeamReport, givenId: number, now: Millis): LedgerEntry {
  const { share, level, demand, known } = report;
  return { share, level, demand, known, reportedAt: now, givenId };
}

/** Result of a report; `void` if the claimed share is not known to have been granted. */
export interface ReportResult {
  readonly ledger: TeamLedger;
  readonly verdict: 'known' | 'void' | 'present_again';
}

/** Applies the report of a holder that has no entry in the ledger. */
function recordUnknown(
  ledger: TeamLedger,
  holder: string,
  report: TeamReport,
  session: number,
  now: Millis,
): ReportResult {
  const entry = entryOf(report, 0, now);
  const empty = withEntry(ledger, holder, { ...entry, share: 0, level: 0 });
  if (report.share === 0) return { ledger: empty, verdict: 'known' };
  if (ledger.recoveringUntil === undefined) return { ledger: empty, verdict: 'void' };
  // A report sent before the takeover may be older than the expiry of its grant, and the earlier
  // coordinator may have granted the same share to another host since: it must be sent again.
  if (session < ledger.session) return { ledger, verdict: 'present_again' };
  if (sumGrantedShares(ledger) + ledger.free + report.share > SHARE_UNITS) {
    return { ledger: empty, verdict: 'void' };
  }
  return { ledger: withEntry(ledger, holder, entry), verdict: 'known' };
}

/**
 * Applies the report of a holder.
 *
 * @param ledger - The ledger, accrued up to now, with the holder's pending grant settled.
 * @param holder - Key of the holder.
 * @param report - The report.
 * @param session - Newest session that the holder knew when it sent the report.
 * @param rate - Rate and burst of the team.
 * @param now - Time on this host's clock.
 * @returns The updated ledger, and whether the claimed share is accepted.
 */
export function applyReport(
  ledger: TeamLedger,
  holder: string,
  report: TeamReport,
  session: number,
  rate: TeamRate,
  now: Millis,
): ReportResult {
  const known = ledger.entries[holder];
  if (known === undefined) return recordUnknown(ledger, holder, report, session, now);
  if (report.share > known.share) {
    return { ledger: withEntry(ledger, holder, { ...known, level: 0 }), verdict: 'void' };
  }
  const { given } = report;
  const isNewReturn = given !== undefined && given.id > known.givenId;
  const free = ledger.free + known.share - report.share;
  const bucket = addTokens(ledger.bucket, isNewReturn ? given.tokens : 0, free, rate);
  const entry = entryOf(report, isNewReturn ? given.id : known.givenId, now);
  return { ledger: withEntry({ ...ledger, free, bucket }, holder, entry), verdict: 'known' };
}
