import type { QueueOrder } from '../shares/QueueOrder.ts';
import type { TurnScheduler } from '../turns/TurnScheduler.ts';
import type { AdmissionEvent } from './AdmissionDecision.ts';

/** Overload controls of one queue. They are read at each decision, since they may be switched at any time. */
export interface QueueControls {
  /** Whether admission by expected wait is on. */
  readonly isAdmissionOn: () => boolean;
  /** Gets what schedules the retries of refused callers; undefined while that is off. */
  readonly turns?: () => TurnScheduler | undefined;
  /** Gets the order of waiting requests; undefined while the order of the queue itself applies. */
  readonly order?: () => QueueOrder | undefined;
  /** Receives refusals and their review, for logs and metrics. */
  readonly report?: (event: AdmissionEvent) => void;
}

/** Controls of a queue for which nothing is switched on. */
export const NO_QUEUE_CONTROLS: QueueControls = { isAdmissionOn: () => false };
