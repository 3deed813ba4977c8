import type { HostId, Incarnation, Refusal } from '@camphorvane/core';
import { notRun, sha256Hex } from '@camphorvane/core';
import type { ClaimRequest } from '@camphorvane/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ResolvedCall } from './resolvedCall.ts';

/**
 * Gets the claim of a call that must not run twice.
 *
 * @param call - The call.
 * @param self - The host that runs it.
 * @returns The claim to make, or the refusal of a call without an Idempotency-Key.
 */
export function claimRequestOf(
  call: ResolvedCall,
  self: { readonly host: HostId; readonly incarnation: Incarnation },
): Result<ClaimRequest, Refusal> {
  const { idempotencyKey, method, path, body } = call.req;
  if (idempotencyKey === undefined) {
    const text = 'This call runs at most once and needs an Idempotency-Key header.';
    return err(notRun('idempotency_key_required', text));
  }
  const [pathname = ''] = path.split('?');
  return ok({
    team: call.caller.team.id,
    service: call.service.id,
    route: `${method} ${pathname}`,
    key: idempotencyKey,
    requestDigest: sha256Hex(`${method} ${path}\n${Buffer.from(body).toString('base64')}`),
    attempt: call.id,
    ...self,
  });
}
