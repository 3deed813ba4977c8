import type { RequestId, UpstreamId } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import type { StreamMove } from '@camphorvane/decisions';
import type { DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineEntry } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';
import { streamTruncated } from './attemptEnds.ts';
import type { StreamRequest } from './streamRequest.ts';

const log = eventLog('relocation');

/** The decode of a stream at one engine. */
export class EngineRun {
  private readonly controller = new AbortController();

  private readonly events: AsyncIterable<Result<DecodeEvent, UpstreamError>>;

  private readonly engine: UpstreamId;

  private endsWithConnection = false;

  private isStopped = false;

  private isUnreachable = false;

  private isEmpty = true;

  /**
   * Sends the request to the engine.
   *
   * @param entry - The engine.
   * @param command - The request.
   */
  constructor(entry: EngineEntry, command: StreamRequest['command']) {
    this.engine = entry.cfg.id;
    this.events = entry.engine.decode(command, this.controller.signal);
  }

  /** Gets the engine. */
  getEngine(): UpstreamId {
    return this.engine;
  }

  /** Records that the engine has stopped the run by order. */
  recordStop(): void {
    this.isStopped = true;
  }

  /** Tells whether the engine has stopped the run by order. */
  wasStopped(): boolean {
    return this.isStopped;
  }

  /** Records that the engine's process can't be reached any more. */
  recordUnreachable(): void {
    this.isUnreachable = true;
  }

  /** Tells whether the engine's process could not be reached since the latest event. */
  mayBeLost(): boolean {
    return this.isUnreachable;
  }

  /** Records an event that the stream did not have yet. */
  recordEvent(): void {
    this.isEmpty = false;
    this.isUnreachable = false;
  }

  /** Tells whether the run has added any event to the stream. */
  hasEvents(): boolean {
    return !this.isEmpty;
  }

  /**
   * Passes on the events until the end or {@link EngineRun.abort}.
   *
   * @param receive - Receives each event, and an error if the stream ends without `done`.
   * @param waitForRoom - Awaited before the next event is read.
   */
  async read(
    receive: (event: Result<DecodeEvent, UpstreamError>) => void,
    waitForRoom: () => Promise<void>,
  ): Promise<void> {
    try {
      for await (const event of this.events) {
        if (this.isAborted()) return;
        if (event.isOk() && event.value.type === 'head') {
          this.endsWithConnection = event.value.head.endsWithConnection === true;
        }
        receive(event);
        if (this.isAborted()) return;
        await waitForRoom();
        if (this.isAborted()) return;
      }
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      if (!this.isAborted()) receive(err({ type: 'broken', dispatched: true, message }));
      return;
    }
    if (!this.isAborted()) receive(err(streamTruncated()));
  }

  /** Starts {@link EngineRun.read}, whose failures reach `receive`. */
  start(
    receive: (event: Result<DecodeEvent, UpstreamError>) => void,
    waitForRoom: () => Promise<void>,
  ): void {
    runInBackground('engine_run', () => this.read(receive, waitForRoom));
  }

  /**
   * Logs how the run ended.
   *
   * @param end - Type of its last event, or of its error.
   * @param id - The request.
   * @param step - Step of the move that was under way; undefined for none.
   */
  logEnd(end: string, id: RequestId, step: StreamMove['step'] | undefined): void {
    const { engine, endsWithConnection } = this;
    log('run_ended', { id, engine, end, endsWithConnection, step });
  }

  /** Closes the connection; nothing is passed on any more. */
  abort(): void {
    this.controller.abort();
  }

  private isAborted(): boolean {
    return this.controller.signal.aborted;
  }
}
