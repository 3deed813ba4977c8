import { MEMBERSHIP_RULES, type MembershipRules } from '../../membership/MembershipSettings.ts';

/** Rules with one of them broken; a search that finds none of them wrong proves nothing. */
export const MEMBERSHIP_MUTATIONS: Readonly<Record<string, MembershipRules>> = {
  /** Takes over at once, while a member unheard of still acts. */
  'no-wait': { ...MEMBERSHIP_RULES, takeoverWait: () => 0 },
  /** Waits T on a fast clock, while a slow clock still counts its T. */
  'no-drift-margin': { ...MEMBERSHIP_RULES, takeoverWait: (settings) => settings.actForMs },
  /** Lets a member vouch for itself. */
  'majority-of-one': { ...MEMBERSHIP_RULES, quorum: (members) => Math.min(1, members) },
};
