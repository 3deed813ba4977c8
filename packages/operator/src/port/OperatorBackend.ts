import type { HostId, ZoneId } from '@camphorvane/core';

/** Status summary of a host. */
export interface HostStatus {
  readonly host: HostId;
  readonly zone: ZoneId;
  /** Version of the program. */
  readonly program: string;
  readonly state: 'starting' | 'serving' | 'draining' | 'stopped';
  /** Version of the configuration in force, or 0 before the first. */
  readonly configVersion: number;
  /** False while the configuration version is unconfirmed and callers' keys are refused. */
  readonly configConfirmed: boolean;
  /** Epoch of the host's group, or 0 if it is in none. */
  readonly epoch: number;
  /** Number of requests in flight. */
  readonly inFlight: number;
}

/** Operations that a host provides on its operator port. */
export interface OperatorBackend {
  /** Gets the state of all components of the process, as JSON. */
  dump(): Promise<unknown>;

  /** Gets the status summary. */
  status(): HostStatus;

  /** Starts to drain; further calls have no effect. */
  drain(): void;
}
