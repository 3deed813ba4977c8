import type { AdoptedReservation, ReservationEnd, WorkItem } from '@camphorvane/decisions';
import type { WorkClass } from '@camphorvane/core';
import type * as wire from '../generated/peer.ts';
import type { PeerRequest } from '../PeerLink.ts';

type RequestOf<T extends PeerRequest['type']> = Extract<PeerRequest, { type: T }>;

function workItemToWire(item: WorkItem): wire.WorkItem {
  const { class: workClass, ...rest } = item;
  return { ...rest, workClass };
}

function workItemFromWire(item: wire.WorkItem): WorkItem {
  const { workClass, ...rest } = item;
  return { ...rest, class: workClass as WorkClass };
}

function reserveToWire(req: RequestOf<'reserve'>): wire.Reserve {
  return { model: req.model, item: workItemToWire(req.item) };
}

function reserveFromWire(msg: wire.Reserve): PeerRequest | undefined {
  if (msg.item === undefined) return undefined;
  return { type: 'reserve', model: msg.model, item: workItemFromWire(msg.item) };
}

function renewFromWire(msg: wire.Renew): PeerRequest {
  const held: readonly AdoptedReservation[] = msg.held;
  return { type: 'renew', model: msg.model, held };
}

function releaseFromWire(msg: wire.Release): PeerRequest {
  const { model, reservation } = msg;
  return { type: 'release', model, reservation, end: msg.end as ReservationEnd };
}

type Body = wire.AskRequest['body'];

type RequestEncoders = {
  readonly [T in PeerRequest['type']]?: (req: RequestOf<T>) => Body;
};

/** Encoders by variant; a variant without an encoder is sent as JSON. */
const ENCODERS: RequestEncoders = {
  reserve: (req) => ({ $case: 'reserve', reserve: reserveToWire(req) }),
  withdraw: (req) => ({ $case: 'withdraw', withdraw: req }),
  renew: (req) => ({ $case: 'renew', renew: req }),
  prefill_ended: (req) => ({ $case: 'prefillEnded', prefillEnded: req }),
  share_sync: (req) => ({ $case: 'shareSync', shareSync: req.message }),
  share_borrow: (req) => ({ $case: 'shareBorrow', shareBorrow: req }),
  share_nudge: (req) => ({ $case: 'shareNudge', shareNudge: req }),
  release: (req) => ({ $case: 'release', release: req }),
};

/**
 * Converts a request to its protobuf message. A variant without its own message is sent as JSON.
 *
 * @param req - The request.
 * @returns The message.
 */
export function requestToWire(req: PeerRequest): wire.AskRequest {
  const encode = ENCODERS[req.type] as ((from: PeerRequest) => Body) | undefined;
  return { body: encode?.(req) ?? { $case: 'json', json: JSON.stringify(req) } };
}

/**
 * Converts a protobuf message to a request.
 *
 * @param msg - The message.
 * @returns The request, or undefined where a newer host sent an unknown variant.
 */
export function requestFromWire(msg: wire.AskRequest): PeerRequest | undefined {
  const { body } = msg;
  if (body === undefined) return undefined;
  switch (body.$case) {
    case 'json':
      return JSON.parse(body.json) as PeerRequest;
    case 'reserve':
      return reserveFromWire(body.reserve);
    case 'withdraw':
      return { type: 'withdraw', ...body.withdraw };
    case 'renew':
      return renewFromWire(body.renew);
    case 'prefillEnded':
      return { type: 'prefill_ended', ...body.prefillEnded };
    case 'shareSync':
      return { type: 'share_sync', message: body.shareSync };
    case 'shareBorrow':
      return { type: 'share_borrow', ...body.shareBorrow };
    case 'shareNudge':
      return { type: 'share_nudge', teams: body.shareNudge.teams };
    case 'release':
      return releaseFromWire(body.release);
    default:
      return undefined;
  }
}
