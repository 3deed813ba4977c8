import type { Clock, Millis } from '@camphorvane/core';
import { type Metadata, type ServiceError, status } from '@grpc/grpc-js';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import type { AskRequest, PeerClient } from '../generated/peer.ts';
import type { PeerError, PeerRequest, PeerResponse } from '../PeerLink.ts';
import { requestToWire } from './requestMapping.ts';
import { responseFromWire } from './responseMapping.ts';

/** What a probe on a new connection found after a call had met silence. */
export type SilenceVerdict = 'answers' | 'path_lost' | 'peer_silent';

/** What a {@link PeerChannel} needs. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  /** Opens a connection of its own, never one that another channel uses too. */
  readonly connect: () => PeerClient;
  readonly metadata: () => Metadata;
  /** Calls that may wait for an answer at one time; beyond that a call is rejected at once. */
  readonly maxInFlight: number;
  readonly probeTimeoutMs: Millis;
  readonly onVerdict: (verdict: SilenceVerdict) => void;
}

/** The state of one channel for a dump. */
export interface PeerChannelDump {
  readonly inFlight: number;
  readonly lastHeardAt: Millis;
  readonly retired: number;
  readonly lastVerdict: SilenceVerdict | undefined;
}

type Outcome = Result<PeerResponse, PeerError>;

function errorOf(error: ServiceError): PeerError {
  const message = `${status[error.code]}: ${error.details}`;
  const { code } = error;
  if (code === status.DEADLINE_EXCEEDED) return { type: 'timeout', message };
  if (code === status.UNAVAILABLE) return { type: 'unreachable', message };
  return { type: 'rejected', message };
}

/** The way to one peer: one connection at a time, replaced when it has gone silent. */
export class PeerChannel {
  private readonly options: PeerChannelOptions;

  private client: PeerClient;

  private inFlight = 0;

  private lastHeardAt: Millis;

  private retired = 0;

  private probing = false;

  private closed = false;

  private lastVerdict: SilenceVerdict | undefined;

  constructor(options: PeerChannelOptions) {
    this.options = options;
    this.client = options.connect();
    this.lastHeardAt = options.clock.now();
  }

  /**
   * Asks the peer.
   *
   * @param req - What is asked.
   * @param timeoutMs - Milliseconds after which the call is given up.
   * @returns The answer, or why there is none.
   */
  ask(req: PeerRequest, timeoutMs: Millis): ResultAsync<PeerResponse, PeerError> {
    if (this.closed) {
      const message = 'the connection was closed';
      return new ResultAsync(Promise.resolve(err({ type: 'unreachable', message })));
    }
    // Load: a peer that stalls while many requests need it. Without a limit each of them would
    // hold memory here until its timeout, and the callers would learn late what is known at once.
    if (this.inFlight >= this.options.maxInFlight) {
      const message = `${this.inFlight} calls wait for this peer`;
      return new ResultAsync(Promise.resolve(err({ type: 'rejected', message })));
    }
    return new ResultAsync(this.call(requestToWire(req), timeoutMs));
  }

  /** Closes the connection; calls that wait end as unreachable or by their timeout. */
  close(): void {
    this.closed = true;
    this.client.close();
  }

  /** Gets the state for a dump. */
  dump(): PeerChannelDump {
    const { inFlight, lastHeardAt, retired, lastVerdict } = this;
    return { inFlight, lastHeardAt, retired, lastVerdict };
  }

  private call(msg: AskRequest, timeoutMs: Millis): Promise<Outcome> {
    const { clock, metadata } = this.options;
    const sentAt = clock.now();
    this.inFlight += 1;
    return new Promise((resolve) => {
      const finish = (outcome: Outcome): void => {
        this.inFlight -= 1;
        resolve(outcome);
      };
      let cancelTimer = (): void => undefined;
      const call = this.client.ask(msg, metadata(), (error, res) => {
        cancelTimer();
        finish(this.outcomeOf(error, res && responseFromWire(res)));
      });
      cancelTimer = clock.after(timeoutMs, () => {
        call.cancel();
        if (this.lastHeardAt <= sentAt) void this.probe();
      });
    });
  }

  private outcomeOf(error: ServiceError | null, res: PeerResponse | undefined): Outcome {
    const { code } = error ?? {};
    if (code === status.CANCELLED) return err({ type: 'timeout', message: 'no answer in time' });
    if (code !== status.UNAVAILABLE) this.lastHeardAt = this.options.clock.now();
    if (error !== null) return err(errorOf(error));
    if (res === undefined) return err({ type: 'rejected', message: 'answer of unknown kind' });
    return ok(res);
  }

  /**
   * Finds out whether a silent peer is gone or only the path of this connection is. A device in
   * between that forgot the connection drops its packets for good while new connections work, and
   * TCP alone notices after many minutes. One notices by calls that time out with nothing heard
   * since they were sent; a probe on a new connection beside one on the old tells the cases apart.
   */
  private async probe(): Promise<void> {
    // A call may time out after its peer was dropped; gRPC throws on a closed connection.
    if (this.probing || this.closed) return;
    this.probing = true;
    const old = this.client;
    const fresh = this.options.connect();
    const [oldAnswers, freshAnswers] = await Promise.all([
      this.probeOne(old),
      this.probeOne(fresh),
    ]);
    this.probing = false;
    if (this.closed || oldAnswers || !freshAnswers) fresh.close();
    else {
      this.client = fresh;
      this.retired += 1;
      old.close();
    }
    this.report(oldAnswers, freshAnswers);
  }

  private report(oldAnswers: boolean, freshAnswers: boolean): void {
    const silent = freshAnswers ? 'path_lost' : 'peer_silent';
    const verdict: SilenceVerdict = oldAnswers ? 'answers' : silent;
    this.lastVerdict = verdict;
    this.options.onVerdict(verdict);
  }

  private probeOne(client: PeerClient): Promise<boolean> {
    const { clock, metadata, probeTimeoutMs } = this.options;
    return new Promise((resolve) => {
      let cancelTimer = (): void => undefined;
      const call = client.probe({}, metadata(), (error) => {
        cancelTimer();
        resolve(error === null);
      });
      cancelTimer = clock.after(probeTimeoutMs, () => call.cancel());
    });
  }
}
