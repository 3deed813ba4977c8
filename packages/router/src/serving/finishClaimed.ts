import type { ServiceResponse } from '@camphorvane/caller';
import type { Refusal } from '@camphorvane/core';
import { outcomeUnknown, runInBackground } from '@camphorvane/core';
import type { Claim, IdempotencyClaims } from '@camphorvane/store';
import type { UpstreamResponse } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readForReplay } from './readForReplay.ts';

/** Message of refusals of calls that were sent. */
export const NO_COMPLETE_ANSWER = 'The call was sent, but no complete answer came back.';

/**
 * Ends a claimed call that a server has answered. Its response is stored only once it was read to its end.
 *
 * @param claims - The claims.
 * @param claim - The claim of the call.
 * @param answer - The response of the server.
 * @returns The response, or a refusal where it broke off.
 */
export async function finishClaimed(
  claims: IdempotencyClaims,
  claim: Claim,
  answer: UpstreamResponse,
): Promise<Result<ServiceResponse, Refusal>> {
  const read = await readForReplay(answer);
  switch (read.type) {
    case 'whole':
    case 'too_large':
      // Not awaited: the claim prevents a second run even before the answer is stored.
      runInBackground('claims.finish', () =>
        claims.finish(claim, read.type === 'whole' ? read.answer : undefined),
      );
      return ok({ ...read.answer, replayed: false });
    case 'broken':
      return endUnknown(claims, claim);
    default:
      return read satisfies never;
  }
}

/** Ends a claimed call that was sent and has no complete answer; it is never repeated. */
export function endUnknown(claims: IdempotencyClaims, claim: Claim): Result<never, Refusal> {
  runInBackground('claims.finish', () => claims.markOutcomeUnknown(claim));
  return err(outcomeUnknown('outcome_unknown', NO_COMPLETE_ANSWER));
}
