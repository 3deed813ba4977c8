import { StatsD } from 'hot-shots';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Names of all counters; docs/OPERATIONS.md lists them. */
export type CounterName =
  | 'request.accepted'
  | 'request.whole'
  | 'request.refused'
  | 'attempt.dispatched'
  | 'attempt.failed'
  | 'attempt.engine_gone'
  | 'attempt.resumed'
  | 'prefill.tokens'
  | 'prefill.wasted_tokens'
  | 'reservation.lost'
  | 'service.dispatched'
  | 'service.replayed'
  | 'config.changed'
  | 'role.order';

/** Names of all gauges. */
export type GaugeName = 'engines';

/** Names of all timings, in milliseconds. */
export type TimingName =
  'request.ttft' | 'request.whole' | 'request.pause' | 'request.token_interval';

/** Bounds of the histograms, in milliseconds: from a hop between zones to a caller's patience. */
const BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 300, 450, 600, 900, 1_400, 2_000, 4_000, 8_000, 14_000,
];

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

  private readonly registry = new Registry();

  private readonly counters = new Map<CounterName, Counter>();

  private readonly histograms = new Map<TimingName, Histogram>();

  private readonly gauges = new Map<GaugeName, Gauge>();

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
    this.counterOf(name, tags).inc({ ...tags }, amount);
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
    this.histogramOf(name, tags).observe({ ...tags }, ms);
    this.client?.timing(name, ms, { ...tags });
  }

  /**
   * Sets a gauge.
   *
   * @param name - The gauge.
   * @param value - What it shows from now on.
   * @param tags - How it is split.
   */
  gauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
    this.gaugeOf(name, tags).set({ ...tags }, value);
    this.client?.gauge(name, value, { ...tags });
  }

  /** Gets all counters since the start, by name and tags. */
  getCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Gets all counters and timings as Prometheus text. */
  getText(): Promise<string> {
    return this.registry.metrics();
  }

  /** Ends sending. */
  close(): void {
    this.client?.close(() => undefined);
  }

  private counterOf(name: CounterName, tags: MetricTags): Counter {
    const known = this.counters.get(name);
    if (known !== undefined) return known;
    const counter = new Counter({
      name: `${promName(name)}_total`,
      help: `Counter ${name}.`,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    });
    this.counters.set(name, counter);
    return counter;
  }

  private gaugeOf(name: GaugeName, tags: MetricTags): Gauge {
    const known = this.gauges.get(name);
    if (known !== undefined) return known;
    const gauge = new Gauge({
      name: promName(name),
      help: `Gauge ${name}.`,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    });
    this.gauges.set(name, gauge);
    return gauge;
  }

  private histogramOf(name: TimingName, tags: MetricTags): Histogram {
    const known = this.histograms.get(name);
    if (known !== undefined) return known;
    const histogram = new Histogram({
      name: `${promName(name)}_ms`,
      help: `Timing ${name} in milliseconds.`,
      labelNames: Object.keys(tags),
      buckets: [...BUCKETS_MS],
      registers: [this.registry],
    });
    this.histograms.set(name, histogram);
    return histogram;
  }
}

function promName(name: string): string {
  return `camphorvane_${name.replaceAll('.', '_')}`;
}
