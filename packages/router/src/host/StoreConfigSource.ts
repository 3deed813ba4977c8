import type { Clock, Millis, RoutingConfig, VersionedConfig } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { ObjectStore } from '@camphorvane/platform';
import type { ConfigSource, Unsubscribe } from './ports.ts';

const PERIOD_MS: Millis = 1_000;

/** Reads a configuration that is stored as one object. */
export class StoreConfigSource implements ConfigSource {
  private config: VersionedConfig | undefined;

  private confirmed: Millis | undefined;

  private readonly listeners = new Set<(config: VersionedConfig) => void>();

  constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  current(): VersionedConfig | undefined {
    return this.config;
  }

  confirmedAt(): Millis | undefined {
    return this.confirmed;
  }

  onChange(changed: (config: VersionedConfig) => void): Unsubscribe {
    this.listeners.add(changed);
    return () => this.listeners.delete(changed);
  }

  /** Reads until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const read = await this.store.get('config', 'current');
      if (read.isOk()) {
        this.confirmed = this.clock.now();
        const found = read.value;
        if (found !== undefined && found.version > (this.config?.version ?? 0)) {
          const next = { version: found.version, config: found.value as RoutingConfig };
          this.config = next;
          this.listeners.forEach((listener) => listener(next));
        }
      }
      await sleep(this.clock, PERIOD_MS, signal);
    }
  }
}
