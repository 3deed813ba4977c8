import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { CancelTimer, Clock, Millis, SoftwareVersion } from '@camphorvane/core';
import { encodeRequest, FrameReader } from './relayCodec.ts';
import type { RelayFrame } from './relayCodec.ts';
import type { RelayedRequest, RelayEvent, RelayFailure } from './RelayLink.ts';
import { ALIVE_INTERVAL_MS, BOUND_RELAY_PATH, RELAY_PATH } from './relayProtocol.ts';

/** Connect timeout in milliseconds; a connection between hosts takes a few milliseconds. */
const CONNECT_TIMEOUT_MS: Millis = 200;

/** Milliseconds without a byte of a peer after which it is lost; a single late sign of life is no reason. */
const SILENCE_TIMEOUT_MS: Millis = ALIVE_INTERVAL_MS * 3;

const OK = 200;

/** One request on its way over a peer, on a connection of its own. */
export class RelayExchange {
  private readonly clock: Clock;

  private readonly req: ClientRequest;

  private readonly response: Promise<IncomingMessage>;

  private isConnected = false;

  /** Version of the engine that brings the present events. */
  private softwareVersion: SoftwareVersion | undefined;

  private cancelTimer: CancelTimer = () => undefined;

  /**
   * Sends the request.
   *
   * @param clock - Clock for timeouts.
   * @param localAddress - IP address of this host.
   * @param address - Address (`ip:port`) of the peer.
   * @param relayed - The request.
   * @param signal - Closes the connection when aborted.
   */
  constructor(
    clock: Clock,
    localAddress: string,
    address: string,
    relayed: RelayedRequest,
    signal: AbortSignal,
  ) {
    this.clock = clock;
    const [hostname = '', port = ''] = address.split(':');
    const parts = encodeRequest(relayed);
    this.req = request({
      ...{ hostname, port: Number(port), localAddress, agent: false, signal },
      method: 'POST',
      path: relayed.context.binding === undefined ? RELAY_PATH : BOUND_RELAY_PATH,
      headers: { 'content-length': parts.reduce((sum, part) => sum + part.length, 0) },
    });
    this.response = new Promise((resolve, reject) => {
      this.req.once('response', resolve);
      this.req.on('error', reject);
    });
    // The response may fail before anybody waits for it.
    this.response.catch(() => undefined);
    this.req.once('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        this.isConnected = true;
        this.startTimer(SILENCE_TIMEOUT_MS, 'the peer fell silent');
      });
    });
    this.startTimer(CONNECT_TIMEOUT_MS, 'connect timeout');
    parts.forEach((part) => this.req.write(part));
    this.req.end();
  }

  /** Gets the events; the last one is `done`, `refused` or `failed`. */
  async *events(): AsyncGenerator<RelayEvent | RelayFailure> {
    try {
      const res = await this.response;
      if (res.statusCode !== OK) {
        yield this.failure(`the peer answered ${res.statusCode ?? 0}`, false);
        return;
      }
      const reader = new FrameReader();
      for await (const chunk of res) {
        this.cancelTimer();
        const frames = reader.push(chunk as Uint8Array);
        if (frames === undefined) {
          yield this.failure('malformed response');
          return;
        }
        const events = frames.flatMap((frame) => this.toEvents(frame));
        yield* events;
        const last = events.at(-1);
        if (last?.type === 'done' || last?.type === 'refused') return;
        this.startTimer(SILENCE_TIMEOUT_MS, 'the peer fell silent');
      }
      yield this.failure('the response broke off');
    } catch (thrown) {
      yield this.failure(thrown instanceof Error ? thrown.message : String(thrown));
    }
  }

  /** Closes the connection. */
  close(): void {
    this.cancelTimer();
    this.req.destroy();
  }

  private toEvents(frame: RelayFrame): readonly RelayEvent[] {
    switch (frame.type) {
      case 'alive':
        return [];
      case 'version':
        this.softwareVersion = frame.version;
        return [];
      case 'data': {
        const { softwareVersion } = this;
        return [softwareVersion === undefined ? frame : { ...frame, softwareVersion }];
      }
      case 'head':
      case 'done':
      case 'refused':
        return [frame];
      default:
        return frame satisfies never;
    }
  }

  private startTimer(ms: Millis, reason: string): void {
    this.cancelTimer();
    this.cancelTimer = this.clock.after(ms, () => this.req.destroy(new Error(reason)));
  }

  private failure(message: string, dispatched = this.isConnected): RelayFailure {
    return { type: 'failed', dispatched, message };
  }
}
