import { type Millis, notRun, type Refusal, type TeamRate, type Tokens } from '@camphorvane/core';

/** Retry delay for a caller whose host has no share. */
export const NO_SHARE_RETRY_MS: Millis = 1000;

/** Creates the refusal for a team that lacks tokens, with the time until its rate has supplied them. */
export function overRateRefusal(lack: Tokens, rate: TeamRate): Refusal {
  const waitMs = Math.max(1, Math.ceil((lack / rate.tokensPerSecond) * 1000));
  return notRun('over_rate', 'The team is over its rate.', waitMs);
}

/** Creates the refusal for a request that needs more tokens than the team's burst. */
export function overBurstRefusal(tokens: Tokens, rate: TeamRate): Refusal {
  const text = `The request needs ${tokens} tokens; the burst of its team is ${rate.burstTokens}.`;
  return notRun('over_rate', text);
}

/** Creates the refusal for a host that has no share of the team's rate. */
export function noShareRefusal(retryAfterMs: Millis): Refusal {
  const text = 'This host has no share of the rate of the team now.';
  return notRun('share_unavailable', text, retryAfterMs);
}
