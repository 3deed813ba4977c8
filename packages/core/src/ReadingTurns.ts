import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Millis } from './Clock.ts';

/** Least pieces that are read in one go from which on a request has to take turns. */
const MIN_PIECES = 500;

interface Turn {
  readonly socket: Socket;
  /** Milliseconds that its last pieces took. */
  readonly tookMs: Millis;
}

/**
 * Has requests whose bodies arrive in very small pieces take turns.
 *
 * Each piece costs as much time as a large one. Many such bodies at once would leave none for anything else, so one of
 * them is read at a time, and the process is free for as long as that took.
 */
export class ReadingTurns {
  private readonly waiting: Turn[] = [];

  private isResting = false;

  /**
   * Counts the pieces of a body.
   *
   * @param req - Its request.
   * @returns To be called for each piece.
   */
  counterOf({ socket }: IncomingMessage): () => void {
    let pieces = 0;
    let from: Millis = 0;
    let until: Millis = 0;
    const pause = (): void => {
      until = performance.now();
      socket.pause();
    };
    const endGo = (): void => {
      const isFragmented = pieces >= MIN_PIECES;
      pieces = 0;
      if (!isFragmented || socket.destroyed) return;
      // A paused request would keep the pieces that are read until then, one by one.
      socket.pause();
      this.waiting.push({ socket, tookMs: until - from });
      this.next();
    };
    return () => {
      if (pieces === 0) {
        from = performance.now();
        setImmediate(endGo);
      }
      pieces += 1;
      // Node reads on from a socket until it is paused, and a request resumes its socket after each piece.
      if (pieces >= MIN_PIECES) queueMicrotask(pause);
    };
  }

  private next(): void {
    if (this.isResting) return;
    const turn = this.waiting.shift();
    if (turn === undefined) return;
    this.isResting = true;
    setTimeout(() => {
      this.isResting = false;
      turn.socket.resume();
      this.next();
    }, turn.tookMs).unref();
  }
}
