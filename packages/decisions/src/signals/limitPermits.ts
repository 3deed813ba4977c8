import type { HostId, Millis, UpstreamId } from '@camphorvane/core';
import { hashToUint48 } from '@camphorvane/core';

/**
 * Length of a frame in milliseconds. A permit holds within its frame only, so that the requests of any
 * window are at most those of the window and one more frame.
 */
export const LIMIT_FRAME_MS: Millis = 1_000;

/**
 * Lowest limit that is divided, in requests per second. Without any request to an upstream that takes
 * none, nobody would learn that its limit has ended.
 */
export const MIN_REQUESTS_PER_SECOND = 0.1;

/** Highest limit that is divided, in requests per second; numbers of requests stay exact up to it. */
const MAX_REQUESTS_PER_SECOND = 100_000;

const MS_PER_SECOND = 1_000;

/** Position of a host among the hosts that share the limit of an upstream. */
export interface LimitSharer {
  /** Index of the host; negative where it has no share. */
  readonly index: number;
  readonly hosts: number;
}

/** The permits of one host for a limited upstream in one frame. */
export interface FramePermits {
  /** Number of the frame, counted from the Unix epoch. */
  readonly frame: number;
  readonly permits: number;
}

/**
 * Gets the position of a host among those that share the limit of an upstream. The order starts at a
 * different host for each upstream, so that the scarce permits of several upstreams go to different hosts.
 *
 * @param upstream - The upstream.
 * @param self - The host.
 * @param hosts - All hosts that share the limit, in the same order on each of them.
 * @returns The position.
 */
export function limitSharer(
  upstream: UpstreamId,
  self: HostId,
  hosts: readonly HostId[],
): LimitSharer {
  const index = hosts.indexOf(self);
  if (index < 0) return { index, hosts: hosts.length };
  const first = hashToUint48(upstream) % hosts.length;
  return { index: (index - first + hosts.length) % hosts.length, hosts: hosts.length };
}

/**
 * Gets how many requests a host may send to a limited upstream in a frame.
 *
 * The requests that the limit allows are numbered from the Unix epoch on, and dealt to the hosts in turn.
 * So the permits of all hosts add up to the limit in whole requests, also where the share of a host is a
 * fraction of a request per frame, and hosts need only the time of day to agree.
 *
 * @param sharer - Position of the host.
 * @param requestsPerSecond - The limit.
 * @param frame - Number of the frame.
 * @returns Whole requests.
 */
export function permitsInFrame(
  { index, hosts }: LimitSharer,
  requestsPerSecond: number,
  frame: number,
): number {
  if (index < 0) return 0;
  const perFrame = requestsPerFrame(requestsPerSecond);
  const countBefore = (end: number): number => Math.ceil((Math.floor(end) - index) / hosts);
  return countBefore((frame + 1) * perFrame) - countBefore(frame * perFrame);
}

/**
 * Gets the next frames in which a host may send to a limited upstream.
 *
 * @param sharer - Position of the host.
 * @param requestsPerSecond - The limit.
 * @param from - First frame.
 * @param count - Number of frames to get.
 * @returns Frames with at least one permit, in order; none for a host without a share.
 */
export function nextPermits(
  sharer: LimitSharer,
  requestsPerSecond: number,
  from: number,
  count: number,
): readonly FramePermits[] {
  if (sharer.index < 0) return [];
  const found: FramePermits[] = [];
  let frame = from;
  while (found.length < count) {
    frame = nextFrame(sharer, requestsPerSecond, frame);
    found.push({ frame, permits: permitsInFrame(sharer, requestsPerSecond, frame) });
    frame += 1;
  }
  return found;
}

/** Gets the first frame, from a given one on, in which a host has a permit. */
function nextFrame(sharer: LimitSharer, requestsPerSecond: number, from: number): number {
  const { index, hosts } = sharer;
  const perFrame = requestsPerFrame(requestsPerSecond);
  const turn = Math.ceil((Math.floor(from * perFrame) - index) / hosts);
  const permit = turn * hosts + index;
  // One frame early, since the division may round up to the frame after the one that holds the permit.
  let frame = Math.max(from, Math.ceil((permit + 1) / perFrame) - 2);
  while (permitsInFrame(sharer, requestsPerSecond, frame) === 0) frame += 1;
  return frame;
}

function requestsPerFrame(requestsPerSecond: number): number {
  const divided = Math.min(
    MAX_REQUESTS_PER_SECOND,
    Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond),
  );
  return (divided * LIMIT_FRAME_MS) / MS_PER_SECOND;
}
