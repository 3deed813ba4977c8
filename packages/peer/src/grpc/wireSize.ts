import { AskRequest, AskResponse } from '../generated/peer.ts';
import type { PeerRequest, PeerResponse } from '../PeerLink.ts';
import { requestToWire } from './requestMapping.ts';
import { responseToWire } from './responseMapping.ts';

/**
 * Gets the encoded size of a request, without the framing of HTTP/2 and gRPC.
 *
 * @param req - The request.
 * @returns Size in bytes.
 */
export function requestBytes(req: PeerRequest): number {
  return AskRequest.encode(requestToWire(req)).finish().length;
}

/**
 * Gets the encoded size of a response, without the framing of HTTP/2 and gRPC.
 *
 * @param res - The response.
 * @returns Size in bytes.
 */
export function responseBytes(res: PeerResponse): number {
  return AskResponse.encode(responseToWire(res)).finish().length;
}
