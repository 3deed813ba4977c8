import { MEMBERSHIP_RULES, type MembershipRules } from '../../membership/MembershipSettings.ts';

/** Sets of rules with one of them broken; the search must find a violation in all. */
export const MEMBERSHIP_MUTATIONS: Readonly<Record<string, MembershipRules>> = {
  /** Takes over at once, while an unreachable member still acts. */
  'no-wait': { ...MEMBERSHIP_RULES, takeoverWait: () => 0 },
  /** Waits T on a fast clock, while T has not passed yet on a slow clock. */
  'no-drift-margin': { ...MEMBERSHIP_RULES, takeoverWait: (settings) => settings.actForMs },
  /** Lets a member's own vouch be a majority. */
  'majority-of-one': { ...MEMBERSHIP_RULES, quorum: (members) => Math.min(1, members) },
};
