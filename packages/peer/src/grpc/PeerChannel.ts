import type { Clock, Millis } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import { type Metadata, type ServiceError, status } from '@grpc/grpc-js';
import { ResultAsync, err, ok, type Result } from 'neverthrow';
import type { AskRequest, PeerClient } from '../generated/peer.ts';
import type { PeerError, PeerRequest, PeerResponse } from '../PeerLink.ts';
import { requestToWire } from './requestMapping.ts';
import { responseFromWire } from './responseMapping.ts';

/**
 * The result of probing a peer after a call timed out: the old connection answers, only a new
 * connection answers, or neither does.
 */
export type ProbeVerdict = 'answers' | 'path_lost' | 'peer_silent';

/** Options of a {@link PeerChannel}. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  /** Opens a new connection that no other channel shares. */
  readonly connect: () => PeerClient;
  readonly metadata: () => Metadata;
  /** Maximum number of calls in flight; further calls are rejected at once. */
  readonly maxInFlight: number;
  readonly probeTimeoutMs: Millis;
  readonly onVerdict: (verdict: ProbeVerdict) => void;
}

/** The state of one channel, for the state dump. */
export interface PeerChannelDump {
  readonly inFlight: number;
  readonly lastHeardAt: Millis;
  readonly retired: number;
  readonly lastVerdict: ProbeVerdict | undefined;
}

type Outcome = Result<PeerResponse, PeerError>;

function toPeerError(error: ServiceError): PeerError {
  const message = `${status[error.code]}: ${error.details}`;
  const { code } = error;
  if (code === status.DEADLINE_EXCEEDED) return { type: 'timeout', message };
  if (code === status.UNAVAILABLE) return { type: 'unreachable', message };
  return { type: 'rejected', message };
}

/** The connection to one peer, replaced where it stops working while the peer still answers. */
export class PeerChannel {
  private readonly options: PeerChannelOptions;

  private client: PeerClient;

  private inFlight = 0;

  private lastHeardAt: Millis;

  private retired = 0;

  private probing = false;

  private closed = false;

  private lastVerdict: ProbeVerdict | undefined;

  constructor(options: PeerChannelOptions) {
    this.options = options;
    this.client = options.connect();
    this.lastHeardAt = options.clock.now();
  }

  /**
   * Sends a request to the peer.
   *
   * @param req - The request.
   * @param timeoutMs - Milliseconds after which the call is cancelled.
   * @returns The response, or an error.
   */
  ask(req: PeerRequest, timeoutMs: Millis): ResultAsync<PeerResponse, PeerError> {
    if (this.closed) {
      const message = 'the connection was closed';
      return new ResultAsync(Promise.resolve(err({ type: 'unreachable', message })));
    }
    // Without a limit, each call to a stalled peer would hold memory here until its timeout, and its
    // caller would learn of the failure late.
    if (this.inFlight >= this.options.maxInFlight) {
      const message = `too many calls in flight to this peer: ${this.inFlight}`;
      return new ResultAsync(Promise.resolve(err({ type: 'rejected', message })));
    }
    return new ResultAsync(this.call(requestToWire(req), timeoutMs));
  }

  /** Closes the connection; calls in flight end as unreachable or by their timeout. */
  close(): void {
    this.closed = true;
    this.client.close();
  }

  /** Gets the state for the state dump. */
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
        if (this.lastHeardAt <= sentAt) runInBackground('peer.probe', () => this.probe());
      });
    });
  }

  private outcomeOf(error: ServiceError | null, res: PeerResponse | undefined): Outcome {
    const { code } = error ?? {};
    if (code === status.CANCELLED) return err({ type: 'timeout', message: 'the call timed out' });
    if (code !== status.UNAVAILABLE) this.lastHeardAt = this.options.clock.now();
    if (error !== null) return err(toPeerError(error));
    if (res === undefined) return err({ type: 'rejected', message: 'unknown response type' });
    return ok(res);
  }

  /**
   * Finds out whether the peer or only this connection has failed, after a call timed out with
   * nothing received since it was sent. A network device that lost its state for the connection
   * drops its packets while new connections work, which TCP alone detects only after many minutes.
   * Probes on the old and on a new connection tell the two cases apart.
   */
  private async probe(): Promise<void> {
    // A call may time out after its channel was closed; gRPC throws on a closed connection.
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
    const failure = freshAnswers ? 'path_lost' : 'peer_silent';
    const verdict: ProbeVerdict = oldAnswers ? 'answers' : failure;
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
