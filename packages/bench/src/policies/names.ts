/** The policies that the bench puts side by side. */
export const POLICY_NAMES = ['round-robin', 'least-load', 'camphorvane', 'oracle'] as const;

/** One of {@link POLICY_NAMES}. */
export type PolicyName = (typeof POLICY_NAMES)[number];
