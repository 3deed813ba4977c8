import type { Execution, Refusal, RefusalCode } from '@camphorvane/core';
import type * as wire from '../generated/peer.ts';
import type { PeerResponse } from '../PeerLink.ts';

function refusalFromWire(msg: wire.Refused): Refusal {
  return {
    code: msg.code as RefusalCode,
    message: msg.message,
    execution: msg.execution as Execution,
    retryAfterMs: msg.retryAfterMs,
  };
}

type Body = wire.AskResponse['body'];

type ResponseEncoders = {
  readonly [T in PeerResponse['type']]?: (res: Extract<PeerResponse, { type: T }>) => Body;
};

/** Encoders by variant; a variant without an encoder is sent as JSON. */
const ENCODERS: ResponseEncoders = {
  placed: (res) => ({ $case: 'placed', placed: res.placement }),
  refused: (res) => ({ $case: 'refused', refused: res.refusal }),
  renewed: (res) => ({ $case: 'renewed', renewed: res }),
  share_lent: (res) => ({ $case: 'shareLent', shareLent: res }),
  share_reply: (res) => ({ $case: 'shareReply', shareReply: res.message }),
  ok: () => ({ $case: 'ok', ok: {} }),
  not_steward: (res) => ({ $case: 'notSteward', notSteward: res }),
};

/**
 * Converts a response to its protobuf message. A variant without its own message is sent as JSON.
 *
 * @param res - The response.
 * @returns The message.
 */
export function responseToWire(res: PeerResponse): wire.AskResponse {
  const encode = ENCODERS[res.type] as ((from: PeerResponse) => Body) | undefined;
  return { body: encode?.(res) ?? { $case: 'json', json: JSON.stringify(res) } };
}

/**
 * Converts a protobuf message to a response.
 *
 * @param msg - The message.
 * @returns The response, or undefined where a newer host sent an unknown variant.
 */
export function responseFromWire(msg: wire.AskResponse): PeerResponse | undefined {
  const { body } = msg;
  if (body === undefined) return undefined;
  switch (body.$case) {
    case 'json':
      return JSON.parse(body.json) as PeerResponse;
    case 'placed':
      return { type: 'placed', placement: body.placed };
    case 'refused':
      return { type: 'refused', refusal: refusalFromWire(body.refused) };
    case 'renewed':
      return { type: 'renewed', lost: body.renewed.lost };
    case 'shareLent':
      return { type: 'share_lent', tokens: body.shareLent.tokens };
    case 'shareReply':
      return { type: 'share_reply', message: body.shareReply };
    case 'ok':
      return { type: 'ok' };
    case 'notSteward':
      return { type: 'not_steward', epoch: body.notSteward.epoch };
    default:
      return undefined;
  }
}
