import type { Millis } from '@camphorvane/core';
import { DemandBook } from '../shift/DemandBook.ts';
import { EngineMoves } from '../shift/EngineMoves.ts';
import { EngineHealth } from './EngineHealth.ts';
import { UseBook } from './EngineUse.ts';
import { PeerCounts } from './PeerCounts.ts';
import { SlowStart } from './SlowStart.ts';

/**
 * Milliseconds for which a peer's hint about its queue counts. Hints come within 200 ms; a request that
 * was on time half a second ago is placed, late or gone by now.
 */
const WAITING_LIFE_MS: Millis = 500;

/** What a host knows of engines and of the demand on them; placing and the roles go by it. */
export class EngineKnowledge {
  /** What all hosts have on each engine. */
  readonly use = new UseBook();

  /** Requests of each pool that wait on other hosts and can still be on time. */
  readonly waiting = new PeerCounts(WAITING_LIFE_MS);

  /** How the engines did for this host. */
  readonly health = new EngineHealth();

  /** Engines that are changing their role. */
  readonly moves = new EngineMoves();

  /** What was asked of the pools. */
  readonly demand = new DemandBook();

  /** Which engines have just started. */
  readonly slowStart: SlowStart;

  /** @param slowStart - Which upstreams have just started. */
  constructor(slowStart = new SlowStart()) {
    this.slowStart = slowStart;
  }
}
