import { type Millis, notRun, type Refusal, type TeamRate, type Tokens } from '@camphorvane/core';

/** When a caller whose host has no share may ask again. */
export const NO_SHARE_RETRY_MS: Millis = 1000;

/** Tells a caller that its team lacks tokens, and when it will have them. */
export function overRate(lack: Tokens, rate: TeamRate): Refusal {
  const waitMs = Math.max(1, Math.ceil((lack / rate.tokensPerSecond) * 1000));
  return notRun('over_rate', 'The team is over its rate.', waitMs);
}

/** Tells a caller that its request needs more than the team's whole burst. */
export function overBurst(tokens: Tokens, rate: TeamRate): Refusal {
  const text = `The request needs ${tokens} tokens; the burst of its team is ${rate.burstTokens}.`;
  return notRun('over_rate', text);
}

/** Tells a caller that this host can't know what is left of the team's rate. */
export function noShare(retryAfterMs: Millis): Refusal {
  const text = 'This host has no share of the rate of the team now.';
  return notRun('share_unavailable', text, retryAfterMs);
}
