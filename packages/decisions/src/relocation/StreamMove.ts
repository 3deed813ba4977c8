import type { Millis } from '@camphorvane/core';

/** An engine that a stopped stream can go on at, and the KV cache to use there. */
export interface ResumePoint {
  readonly at: 'source' | 'target';
  readonly handle: string;
}

/** Why a move failed. */
export type MoveFailure =
  /** The target has no room, or the source can't reach it. */
  | 'no_room'
  /** The source does not know the run, or is copying it already. */
  | 'refused'
  /** The source did not respond, and goes on with the run. */
  | 'no_response'
  | 'source_lost'
  /** The target did not take the run; it goes on at the source. */
  | 'target_failed'
  /** Neither engine took the run. */
  | 'both_failed'
  /** The run ended meanwhile, or is about to. */
  | 'ended';

/** Response to the call that stops the run at the source. */
type StopResponse =
  | { readonly type: 'pending' }
  | { readonly type: 'lost' }
  | {
      readonly type: 'stopped';
      /** Events that the run has made; undefined where the source did not say. */
      readonly events: number | undefined;
      readonly points: readonly ResumePoint[];
    };

/** State of the move of one running stream. */
export type StreamMove =
  /** The KV cache is copied while the run goes on. */
  | { readonly step: 'copying' }
  /** The run is being stopped, and the rest of its KV cache copied. */
  | {
      readonly step: 'stopping';
      /** Handle of the first copy. */
      readonly copy: string;
      readonly response: StopResponse;
      /** Whether the source has closed its stream without the end. */
      readonly isClosed: boolean;
      readonly lastEventAt: Millis;
      /** Time at which to go on without what is still missing. */
      readonly until: Millis;
    }
  /** The request was sent to an engine that has the KV cache. */
  | {
      readonly step: 'resuming';
      readonly point: ResumePoint;
      /** Points to try after it. */
      readonly rest: readonly ResumePoint[];
      /** Handles that the move has obtained; those that are not used are released. */
      readonly handles: readonly string[];
      readonly until: Millis;
    }
  | { readonly step: 'moved' }
  | {
      readonly step: 'failed';
      /** Step at which it failed. */
      readonly failedStep: 'copying' | 'stopping' | 'resuming';
      readonly failure: MoveFailure;
      /** Whether the stream goes on, or has ended in order. */
      readonly isAlive: boolean;
    };

/** What happened to a move. */
export type MoveInput =
  | { readonly type: 'copied'; readonly handle: string; readonly events: number }
  /** No copy could be made; the handle is named if the run has been stopped. */
  | { readonly type: 'no_room'; readonly handle?: string; readonly events?: number }
  | { readonly type: 'refused' }
  /** The call got no usable response. */
  | { readonly type: 'lost' }
  /** An event of the source arrived. */
  | { readonly type: 'event' }
  /** The source's stream ended without its end. */
  | { readonly type: 'closed' }
  /** The stream ended in order, or is too near its end to be stopped. */
  | { readonly type: 'ended' }
  /** The engine that was asked to resume sends the stream. */
  | { readonly type: 'accepted' }
  /** The engine that was asked to resume does not send the stream. */
  | { readonly type: 'rejected' }
  /** The time `until` has come. */
  | { readonly type: 'timeout' };

/** What has to be done next. */
export type MoveAction =
  | { readonly type: 'stop' }
  /** Closes the connection of the run that is left. */
  | { readonly type: 'close' }
  | { readonly type: 'resume'; readonly point: ResumePoint }
  | { readonly type: 'release'; readonly handle: string };

/** A state, and what to do on entering it. */
export interface MoveTransition {
  readonly move: StreamMove;
  readonly actions: readonly MoveAction[];
}

/** Present time, and how many events of the run have arrived. */
export interface MoveContext {
  readonly now: Millis;
  readonly received: number;
}
