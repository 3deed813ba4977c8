import type { HostId, ZoneId } from '@camphorvane/core';

/** What a host tells operators about itself in a line. */
export interface HostStatus {
  readonly host: HostId;
  readonly zone: ZoneId;
  /** Version of the program. */
  readonly program: string;
  readonly state: 'starting' | 'serving' | 'draining' | 'stopped';
  /** Version of the configuration in force, 0 before the first. */
  readonly configVersion: number;
  /** False while keys are refused because the version is unconfirmed. */
  readonly configConfirmed: boolean;
  /** Epoch of the host's group, 0 where it is in none. */
  readonly epoch: number;
  /** Requests that callers wait for. */
  readonly inFlight: number;
}

/** What a host offers on its operators' port. */
export interface OperatorBackend {
  /** Gets the state of all parts of the process, as JSON. */
  dump(): Promise<unknown>;

  /** Gets the state in a line. */
  status(): HostStatus;

  /** Starts to drain; asking again changes nothing. */
  drain(): void;
}
