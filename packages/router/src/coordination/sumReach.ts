import type { Millis } from '@camphorvane/core';
import { summarizeReach } from '@camphorvane/decisions';
import type { ReachSummary } from '@camphorvane/decisions';
import type { HostHint } from '@camphorvane/peer/hints';

/** The last hint of a host. */
export interface ReceivedHint {
  readonly hint: HostHint;
  readonly receivedAt: Millis;
}

/**
 * Sums up which services the hosts reach.
 *
 * @param hints - The recent hints of all hosts.
 * @param now - Present time.
 * @returns The summary; undefined where no host reports it.
 */
export function sumReach(hints: readonly ReceivedHint[], now: Millis): ReachSummary | undefined {
  if (hints.every(({ hint }) => hint.reach === undefined)) return undefined;
  return summarizeReach(
    hints.map(({ hint: { host, reach }, receivedAt }) => {
      const contacts = reach?.contacts.map(({ service, ageMs }) => ({
        service,
        ageMs: ageMs + now - receivedAt,
      }));
      return [host, reach && { ...reach, contacts: contacts ?? [] }] as const;
    }),
  );
}
