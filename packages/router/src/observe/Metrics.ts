import { StatsD } from 'hot-shots';

/** Names of all counters; docs/OPERATIONS.md lists them. */
export type CounterName =
  | 'request.accepted'
  | 'request.whole'
  | 'request.refused'
  | 'attempt.dispatched'
  | 'attempt.failed'
  | 'attempt.resumed'
  | 'prefill.tokens'
  | 'prefill.wasted_tokens'
  | 'reservation.lost'
  | 'service.dispatched'
  | 'service.replayed'
  | 'config.changed';

/** Names of all timings, in milliseconds. */
export type TimingName = 'request.ttft' | 'request.token_interval';

/** Small closed sets of values by which a metric is split; never ids. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Counters and timings of a host.
 *
 * They are kept in memory for the state dump, and sent by hot-shots where a collector is set.
 */
export class Metrics {
  private readonly client: StatsD | undefined;

  private readonly counts = new Map<string, number>();

  /** @param client - Sends to the collector; absent where none is set. */
  constructor(client?: StatsD) {
    this.client = client;
  }

  /**
   * Gets metrics that are sent to a collector.
   *
   * @param ip - Address of the collector.
   * @param port - Its UDP port.
   * @param host - Name of this host, a tag of every metric.
   * @returns The metrics.
   */
  static sendingTo(ip: string, port: number, host: string): Metrics {
    return new Metrics(
      new StatsD({
        host: ip,
        port,
        prefix: 'camphorvane.',
        globalTags: { host },
        // Metrics are lost rather than let a collector's trouble reach requests.
        errorHandler: () => undefined,
      }),
    );
  }

  /**
   * Adds to a counter.
   *
   * @param name - The counter.
   * @param tags - How it is split.
   * @param amount - How much to add.
   */
  count(name: CounterName, tags: MetricTags = {}, amount = 1): void {
    const key = [name, ...Object.values(tags)].join('.');
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
    this.client?.increment(name, amount, { ...tags });
  }

  /**
   * Takes in a timing.
   *
   * @param name - The timing.
   * @param ms - Milliseconds.
   * @param tags - How it is split.
   */
  timing(name: TimingName, ms: number, tags: MetricTags = {}): void {
    this.client?.timing(name, ms, { ...tags });
  }

  /** Gets all counters since the start, by name and tags. */
  getCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Ends sending. */
  close(): void {
    this.client?.close(() => undefined);
  }
}
