import type { UpstreamError } from '@camphorvane/upstream';
import { err, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostLife } from './HostLife.ts';
import type { OpenWire, Wires } from './Wires.ts';

/** What a link needs to know of the host at its near end. */
export interface LinkEnd {
  readonly host: string;
  readonly life: HostLife;
  /** True where a kill resets the host's connections; a loss of power does not. */
  readonly resetsOnKill: () => boolean;
}

/** What an exchange with an upstream is given while it runs. */
export interface Exchange {
  readonly wire: OpenWire;
  /** Aborts at the upstream when the host goes or gives up, if that can reach the upstream. */
  readonly signal: AbortSignal;
  /** Closes the connection. */
  close(): void;
}

/** Opens exchanges between one host and one upstream, with all that can happen on the way. */
export class UpstreamLink {
  constructor(
    readonly near: LinkEnd,
    private readonly upstream: string,
    private readonly wires: Wires,
  ) {}

  /** Opens a connection for one exchange. */
  open(signal: AbortSignal): Exchange {
    const wire = this.wires.connect(this.near.host, this.upstream);
    const far = new AbortController();
    const tell = (): void => {
      if (this.wires.passes(wire)) far.abort();
    };
    const reset = (): void => {
      if (this.near.resetsOnKill()) tell();
    };
    signal.addEventListener('abort', tell, { once: true });
    this.near.life.killed.addEventListener('abort', reset, { once: true });
    const close = (): void => {
      signal.removeEventListener('abort', tell);
      this.near.life.killed.removeEventListener('abort', reset);
      this.wires.close(wire);
    };
    return { wire, signal: far.signal, close };
  }

  /**
   * Sends one command and waits for its answer.
   *
   * @param signal - The host gives up.
   * @param limitMs - Time without an answer after which the host's client calls it silent.
   * @param run - Runs at the upstream.
   * @returns The answer as the host's client sees it.
   */
  exchange<T>(
    signal: AbortSignal,
    limitMs: number,
    run: (signal: AbortSignal) => PromiseLike<Result<T, UpstreamError>>,
  ): ResultAsync<T, UpstreamError> {
    const exchange = this.open(signal);
    const answer = this.answer(exchange, run);
    const limit = this.limit(signal, limitMs);
    const done = Promise.race([answer, limit.ended]).then(async (result) => {
      limit.stop();
      await this.near.life.gate();
      exchange.close();
      return result;
    });
    return new ResultAsync(done);
  }

  /** Waits for one message from an upstream; one that is lost on the way never arrives. */
  async arrive(exchange: Exchange): Promise<void> {
    const passed = await this.wires.carry(exchange.wire);
    if (!passed) await new Promise(() => {});
    await this.near.life.gate();
  }

  /** Times a wait at the host, and ends it when the host gives up. */
  private limit(
    signal: AbortSignal,
    limitMs: number,
  ): { readonly ended: Promise<Result<never, UpstreamError>>; stop(): void } {
    const cell = { stop: (): void => undefined };
    const ended = new Promise<Result<never, UpstreamError>>((resolve) => {
      const message = `${this.upstream} does not answer`;
      const cancel = this.near.life.after(limitMs, () =>
        resolve(err({ type: 'silent', dispatched: true, message })),
      );
      const abort = (): void => {
        resolve(err({ type: 'cancelled', dispatched: true, message: 'given up' }));
      };
      if (signal.aborted) abort();
      signal.addEventListener('abort', abort, { once: true });
      cell.stop = () => {
        cancel();
        signal.removeEventListener('abort', abort);
      };
    });
    return { ended, stop: () => cell.stop() };
  }

  private async answer<T>(
    exchange: Exchange,
    run: (signal: AbortSignal) => PromiseLike<Result<T, UpstreamError>>,
  ): Promise<Result<T, UpstreamError>> {
    if (!(await this.wires.carry(exchange.wire))) return new Promise(() => {});
    const result = await run(exchange.signal);
    if (!(await this.wires.carry(exchange.wire))) return new Promise(() => {});
    return result;
  }
}
