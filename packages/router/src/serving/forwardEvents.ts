import type { ForwardEvent } from '@camphorvane/caller';
import type { ServingEvent } from './resolvedCompletion.ts';

/**
 * Converts an event of a completion to events of a forwarded call.
 *
 * @param event - The event.
 * @returns The events for the caller.
 */
export function* toForwardEvents(event: ServingEvent): Generator<ForwardEvent> {
  switch (event.type) {
    case 'head':
      yield { type: 'head', ...event.head };
      break;
    case 'piece':
      yield {
        ...{ type: 'data', bytes: event.bytes, position: event.position },
        softwareVersion: event.softwareVersion,
      };
      break;
    case 'token':
      yield { type: 'data', bytes: Buffer.from(event.text) };
      break;
    case 'answer':
      yield { type: 'head', ...event.head, bodyBytes: event.body.length };
      yield { type: 'data', bytes: event.body };
      yield { type: 'done' };
      break;
    case 'done':
    case 'refused':
      yield event.type === 'done' ? { type: 'done' } : event;
      break;
    default:
      event satisfies never;
  }
}
