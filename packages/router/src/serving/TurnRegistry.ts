import type { Clock, HostId, Millis, ModelId, ServiceId, TeamId } from '@camphorvane/core';
import { TurnBooks, turnQueueKey } from '@camphorvane/decisions';
import type {
  DrainState,
  QueueQuote,
  ReturnStatus,
  ReturnTurns,
  TeamTurns,
  TurnOffer,
  TurnQueue,
  TurnRequest,
  TurnScheduler,
} from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';

const log = eventLog('turns');

/** Dependencies of a {@link TurnRegistry}. */
export interface TurnRegistryOptions {
  readonly clock: Clock;
  readonly directory: Pick<UpstreamDirectory, 'getOverloadPolicy'>;
  readonly metrics: Metrics;
}

/** Scheduled retries of all queues of a host, in force while the configuration switches them on. */
export class TurnRegistry {
  private readonly options: TurnRegistryOptions;

  private readonly books: TurnBooks;

  /** Schedulers of the queues; they keep no state, so that idle books can be dropped. */
  private readonly schedulers = new Map<string, TurnScheduler>();

  /** Turns of teams that are over their rates. */
  readonly rates: TeamTurns;

  /** @param options - Dependencies. */
  constructor(options: TurnRegistryOptions) {
    this.options = options;
    this.books = new TurnBooks({
      onExpired: (queue, turns) => this.recordExpired(queue, turns),
    });
    this.rates = {
      find: (team) => this.books.find(rateKey(team)),
      get: (team) => this.books.get(rateKey(team)),
    };
  }

  /** Tells whether the configuration in force switches scheduled retries on. */
  isOn(): boolean {
    return this.options.directory.getOverloadPolicy().returnTurns;
  }

  /** Gets the scheduler of a plain service; undefined while scheduled retries are switched off. */
  forService(service: ServiceId): TurnScheduler | undefined {
    return this.scheduler({ kind: 'service', name: service });
  }

  /** Gets the scheduler of a pool; undefined while scheduled retries are switched off. */
  forPool(model: ModelId): TurnScheduler | undefined {
    return this.scheduler({ kind: 'pool', name: model });
  }

  /**
   * Records that a caller has sent a request, in the log and in the metrics if it has returned. The turn of a
   * caller of a service or a pool is then used; that of a team over its rate is used once it is charged.
   *
   * @param queue - The queue that the request is for.
   * @param priority - Its priority.
   * @param ageMs - Milliseconds since its caller first sent it.
   */
  recordArrival(queue: TurnQueue, priority: number, ageMs: Millis): void {
    if (ageMs <= 0 || !this.isOn()) return;
    const now = this.options.clock.now();
    const key = turnQueueKey(queue);
    const book = this.books.find(key);
    const quotedMs = book?.quotedMs(ageMs, priority, now);
    if (book === undefined || quotedMs === undefined) return;
    const status = book.statusOf(ageMs, priority, now);
    if (status === 'in_turn' && queue.kind !== 'rate') book.recordReturn(priority, now);
    this.options.metrics.count('turns.returned', { kind: queue.kind, status });
    log('returned', { queue: key, priority, ageMs, status, quotedMs: Math.round(quotedMs) });
  }

  /** Records the retry time that a refused caller is told. */
  recordOffer(queue: TurnQueue, req: TurnRequest, offer: TurnOffer, drain?: DrainState): void {
    const { clock, metrics } = this.options;
    const key = turnQueueKey(queue);
    const { team, priority, leftMs, targetMs } = req;
    const { type, retryAfterMs } = offer;
    metrics.count('turns.offered', { kind: queue.kind, offer: type });
    if (type === 'turn') metrics.timing('turns.wait', retryAfterMs, { kind: queue.kind });
    log('offered', {
      ...{ queue: key, team, priority, offer: type, retryAfterMs },
      ...{ leftMs: Math.round(leftMs), targetMs },
      drainPerSecond: drain === undefined ? undefined : perSecond(drain.drainPerMs),
      backlogMs: drain === undefined ? undefined : Math.round(drain.backlogMs),
      booked: this.books.find(key)?.countTurns(clock.now()) ?? 0,
    });
  }

  /** Gets the waits that this host tells refused callers, to be sent to its peers. */
  getQuotes(): readonly QueueQuote[] {
    return this.isOn() ? this.books.getQuotes(this.options.clock.now()) : [];
  }

  /** Receives the waits that a peer tells refused callers. */
  receive(peer: HostId, quotes: readonly QueueQuote[]): void {
    if (this.isOn()) this.books.receive(peer, quotes, this.options.clock.now());
  }

  /** Receives the average waits that all peers tell refused callers, from a relay. */
  receiveSum(quotes: readonly QueueQuote[]): void {
    if (this.isOn()) this.books.receiveSum(quotes, this.options.clock.now());
  }

  /** Gets the number of turns that may still be used, by queue, for the state dump. */
  dump(): Readonly<Record<string, number>> {
    return this.books.dump(this.options.clock.now());
  }

  private scheduler(queue: TurnQueue): TurnScheduler | undefined {
    if (!this.isOn()) return undefined;
    const key = turnQueueKey(queue);
    const known = this.schedulers.get(key) ?? this.createScheduler(queue, key);
    this.schedulers.set(key, known);
    return known;
  }

  private createScheduler(queue: TurnQueue, key: string): TurnScheduler {
    const find = (): ReturnTurns | undefined => this.books.find(key);
    return {
      grant: (req, drain, now) => {
        const offer = this.books.get(key).grant(req, drain, now);
        this.recordOffer(queue, req, offer, drain);
        return offer;
      },
      statusOf: (ageMs, priority, now): ReturnStatus => {
        const unknown = ageMs > 0 ? 'early' : 'new';
        return find()?.statusOf(ageMs, priority, now) ?? unknown;
      },
    };
  }

  private recordExpired(queue: string, turns: number): void {
    const [kind = ''] = queue.split('/');
    this.options.metrics.count('turns.expired', { kind }, turns);
    log('expired', { queue, turns });
  }
}

const MS_PER_SECOND = 1_000;

function perSecond(perMs: number): number {
  return Math.round(perMs * MS_PER_SECOND * 10) / 10;
}

function rateKey(team: TeamId): string {
  return turnQueueKey({ kind: 'rate', name: team });
}
