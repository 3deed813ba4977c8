import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type { SoftwareVersion } from '@camphorvane/core';
import type { StreamBinding } from '@camphorvane/decisions';
import { bindingTo } from '@camphorvane/decisions';

type Head = Extract<ForwardEvent, { readonly type: 'head' }>;
type Data = Extract<ForwardEvent, { readonly type: 'data' }>;

/**
 * What an event is to the response that the caller has begun to get: its next part, something that the caller has
 * already, or a part of another response, or of this one behind events that are missing.
 */
export type RelayedPlace = 'next' | 'known' | 'foreign';

/** What the caller has got of a response, over all ways on which its request is served. */
export class RelayProgress {
  private readonly req: ForwardRequest;

  private head: Head | undefined;

  private lastPosition: number | undefined;

  private hasEvents = false;

  /** Whether the caller has got bytes without a position. */
  private hasBytes = false;

  /** Whether positions have had a gap or a repetition, so that the next one is not known. */
  private hasGaps = false;

  /** Whether a further way has begun the stream anew, and has brought no event of it yet. */
  private isResuming = false;

  private binding: StreamBinding;

  /**
   * @param req - The request as the caller sent it.
   * @param binding - Which engines may run it.
   */
  constructor(req: ForwardRequest, binding: StreamBinding) {
    this.req = req;
    this.binding = binding;
    this.lastPosition = req.lastPosition;
  }

  /** Tells whether the caller has got the head of a response. */
  hasHead(): boolean {
    return this.head !== undefined;
  }

  /**
   * Records an event.
   *
   * @param event - The event.
   * @returns What it is to the response; only the next part is passed on.
   */
  place(event: ForwardEvent): RelayedPlace {
    switch (event.type) {
      case 'head':
        return this.placeHead(event);
      case 'data':
        return event.position === undefined
          ? this.placeBytes(event)
          : this.placeEvent(event, event.position);
      case 'done':
      case 'refused':
        return 'next';
      default:
        return event satisfies never;
    }
  }

  /** A stream that goes on keeps its first head; nothing else can go on. */
  private placeHead(event: Head): RelayedPlace {
    const { head } = this;
    if (head === undefined) {
      this.head = event;
      return 'next';
    }
    this.isResuming = true;
    const isSameKind = event.status === head.status && isStream(event) === isStream(head);
    return isSameKind && (isStream(head) || this.hasEvents) ? 'known' : 'foreign';
  }

  /** Bytes without a position can't be told apart: a further way repeats those that the caller has. */
  private placeBytes({ bytes }: Data): RelayedPlace {
    if (this.isResuming && this.hasBytes) return 'known';
    this.hasBytes ||= bytes.length > 0;
    return 'next';
  }

  private placeEvent({ softwareVersion }: Data, position: number): RelayedPlace {
    const last = this.lastPosition;
    const isNext = !this.hasEvents || last === undefined || position === last + 1;
    if (this.isResuming && last !== undefined && !isNext) {
      if (position <= last) return 'known';
      if (!this.hasGaps) return 'foreign';
    }
    this.isResuming = false;
    this.hasGaps ||= !isNext;
    this.hasEvents = true;
    this.lastPosition = position;
    this.bind(softwareVersion);
    return 'next';
  }

  /** Gets which engines may go on with the response. */
  getBinding(): StreamBinding {
    return this.binding;
  }

  private bind(version: SoftwareVersion | undefined): void {
    if (this.binding.type === 'free') this.binding = bindingTo(version);
  }

  /** Gets the request for what the caller has not got yet. */
  getRest(): ForwardRequest {
    const { req, lastPosition } = this;
    return lastPosition === undefined ? req : { ...req, lastPosition };
  }
}

function isStream({ headers }: Head): boolean {
  return (headers['content-type'] ?? '').startsWith('text/event-stream');
}
