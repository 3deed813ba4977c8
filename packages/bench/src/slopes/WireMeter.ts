import { PerformanceObserver } from 'node:perf_hooks';

/** The part of Node's HTTP/2 measurements that is used here. */
interface SessionDetail {
  readonly type?: string;
  readonly bytesRead?: number;
  readonly bytesWritten?: number;
}

/** Adds up the bytes of all HTTP/2 connections that this process opened, as each one closes. */
export class WireMeter {
  /** Bytes sent and received by calling sides, headers of HTTP/2 included. */
  bytes = 0;

  private readonly observer = new PerformanceObserver((list) => {
    list.getEntries().forEach((entry) => {
      const { detail } = entry as typeof entry & { readonly detail?: SessionDetail };
      if (entry.name !== 'Http2Session' || detail?.type !== 'client') return;
      this.bytes += (detail.bytesRead ?? 0) + (detail.bytesWritten ?? 0);
    });
  });

  start(): void {
    this.observer.observe({ entryTypes: ['http2'] });
  }

  stop(): void {
    this.observer.disconnect();
  }
}
