import { AskRequest, AskResponse } from '../generated/peer.ts';
import type { PeerRequest, PeerResponse } from '../PeerLink.ts';
import { requestToWire } from './requestMapping.ts';
import { responseToWire } from './responseMapping.ts';

/**
 * Gets the bytes of a question as a message, without the framing of HTTP/2 and gRPC.
 *
 * @param req - The question.
 * @returns Bytes.
 */
export function requestBytes(req: PeerRequest): number {
  return AskRequest.encode(requestToWire(req)).finish().length;
}

/**
 * Gets the bytes of an answer as a message, without the framing of HTTP/2 and gRPC.
 *
 * @param res - The answer.
 * @returns Bytes.
 */
export function responseBytes(res: PeerResponse): number {
  return AskResponse.encode(responseToWire(res)).finish().length;
}
