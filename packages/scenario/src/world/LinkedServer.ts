import type { UpstreamId } from '@camphorvane/core';
import { ATTEMPT_HEADER } from '@camphorvane/stand-ins';
import type { ServiceCore } from '@camphorvane/stand-ins';
import type {
  PlainServer,
  UpstreamResponse,
  ServiceCall,
  SignalListener,
  UpstreamError,
} from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { DispatchLog } from './DispatchLog.ts';
import type { UpstreamLink } from './UpstreamLink.ts';

/** A stand-in server of a plain service as one host reaches it. */
export class LinkedServer implements PlainServer {
  constructor(
    private readonly core: ServiceCore,
    private readonly link: UpstreamLink,
    private readonly log: DispatchLog,
    private readonly onSignals: SignalListener,
  ) {}

  /** Gets the server's name. */
  get id(): UpstreamId {
    return this.core.id;
  }

  /** Runs one call; an answer to another attempt is a mismatch, as in the HTTP client. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    this.log.dispatched(this.id, Buffer.from(call.body).toString('utf8'));
    return this.link
      .exchange(signal, call.timeoutMs, (far) => this.core.call(call, far))
      .map((answer) => this.heard(answer))
      .mapErr((error) => (error.type === 'rejected' ? this.heard(error) : error))
      .andThen((answer) =>
        answer.headers[ATTEMPT_HEADER] === call.attempt
          ? ok(answer)
          : err<UpstreamResponse, UpstreamError>({
              type: 'mismatch',
              dispatched: true,
              message: `${this.id} answered another attempt`,
            }),
      );
  }

  /** Passes on what an answer says about the server. */
  private heard<T>(answer: T): T {
    this.onSignals(this.id, this.core.signals);
    return answer;
  }
}
