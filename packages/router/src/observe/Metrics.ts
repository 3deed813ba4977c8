import { StatsD } from 'hot-shots';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Names of all counters; docs/OPERATIONS.md describes them. */
export type CounterName =
  | 'request.accepted'
  | 'request.whole'
  | 'request.refused'
  | 'request.late'
  | 'request.left'
  | 'answer.ended'
  | 'answer.illegal'
  | 'answer.undelivered'
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
  | 'store.read_from_peer'
  | 'role.order'
  | 'stream.moves'
  | 'stream.backups'
  | 'stream.takeups'
  | 'turns.expired'
  | 'turns.offered'
  | 'turns.returned'
  | 'upstream.overrun'
  | 'upstream.signal'
  | 'upstream.withheld'
  | 'crashes.recorded'
  | 'crashes.blocked'
  | 'crashes.tried'
  | 'crashes.excused'
  | 'crashes.withdrawn'
  | 'admission.refused'
  | 'admission.refused_while_idle'
  | 'shares.placed'
  | 'shares.unplaced'
  | 'relay.sent'
  | 'relay.served'
  | 'relay.lost'
  | 'retries.charged'
  | 'retries.refused'
  | 'retries.uncharged'
  | 'buffers.refused'
  | 'buffers.evicted'
  | 'connections.closed'
  | 'buffers.cut_off'
  | 'fault';

/** Names of all gauges. */
export type GaugeName =
  | 'engines'
  | 'engines.versions'
  | 'buffers.bytes'
  | 'crashes.suspects'
  | 'reach.services'
  | 'host.loop_delay'
  | 'host.read_lag';

/** Names of all timings, which are in milliseconds. */
export type TimingName =
  | 'request.ttft'
  | 'request.waited'
  | 'request.whole'
  | 'request.pause'
  | 'request.token_interval'
  | 'admission.expected_wait'
  | 'admission.real_wait'
  | 'shares.waited'
  | 'stream.move'
  | 'turns.wait'
  | 'service.call';

/** Bucket bounds of the histograms in milliseconds, from a hop between zones to the longest wait of callers. */
const BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 300, 450, 600, 900, 1_400, 2_000, 4_000, 8_000, 14_000,
];

/** Tags of a metric. Their values come from small fixed sets, never from ids. */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Counters, gauges and timings of a host.
 *
 * They are kept in memory for Prometheus and the state dump, and sent to a StatsD collector if one is
 * configured.
 */
export class Metrics {
  private readonly client: StatsD | undefined;

  private readonly counts = new Map<string, number>();

  private readonly registry = new Registry();

  private readonly counters = new Map<CounterName, Counter>();

  private readonly histograms = new Map<TimingName, Histogram>();

  private readonly gauges = new Map<GaugeName, Gauge>();

  /** @param client - Client of the StatsD collector; absent if none is configured. */
  constructor(client?: StatsD) {
    this.client = client;
  }

  /**
   * Creates metrics that are sent to a StatsD collector.
   *
   * @param ip - IP address of the collector.
   * @param port - UDP port of the collector.
   * @param host - Id of this host, sent as a tag of every metric.
   * @returns The metrics.
   */
  static withStatsD(ip: string, port: number, host: string): Metrics {
    return new Metrics(
      new StatsD({
        host: ip,
        port,
        prefix: 'camphorvane.',
        globalTags: { host },
        // Failures of the collector drop metrics and must not affect requests.
        errorHandler: () => undefined,
      }),
    );
  }

  /**
   * Increments a counter.
   *
   * @param name - Name of the counter.
   * @param tags - Tags of the sample.
   * @param amount - The increment.
   */
  count(name: CounterName, tags: MetricTags = {}, amount = 1): void {
    const key = [name, ...Object.values(tags)].join('.');
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
    this.counterOf(name, tags).inc({ ...tags }, amount);
    this.client?.increment(name, amount, { ...tags });
  }

  /**
   * Records a timing.
   *
   * @param name - Name of the timing.
   * @param ms - Duration in milliseconds.
   * @param tags - Tags of the sample.
   */
  timing(name: TimingName, ms: number, tags: MetricTags = {}): void {
    this.histogramOf(name, tags).observe({ ...tags }, ms);
    this.client?.timing(name, ms, { ...tags });
  }

  /**
   * Sets a gauge.
   *
   * @param name - Name of the gauge.
   * @param value - The new value.
   * @param tags - Tags of the sample.
   */
  gauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
    this.gaugeOf(name, tags).set({ ...tags }, value);
    this.client?.gauge(name, value, { ...tags });
  }

  /** Gets the values of all counters since the start of the process, by name and tag values. */
  getCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /** Gets all metrics in the Prometheus text format. */
  getPrometheusText(): Promise<string> {
    return this.registry.metrics();
  }

  /** Closes the client of the collector. */
  close(): void {
    this.client?.close(() => undefined);
  }

  private counterOf(name: CounterName, tags: MetricTags): Counter {
    const existing = this.counters.get(name);
    if (existing !== undefined) return existing;
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
    const existing = this.gauges.get(name);
    if (existing !== undefined) return existing;
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
    const existing = this.histograms.get(name);
    if (existing !== undefined) return existing;
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
