import { DemandBook } from '../shift/DemandBook.ts';
import { EngineMoves } from '../shift/EngineMoves.ts';
import { EngineHealth } from './EngineHealth.ts';
import { UseBook } from './EngineUse.ts';
import { WaitingBook } from './WaitingBook.ts';

/** What a host knows of engines and of the demand on them; placing and the roles go by it. */
export class EngineKnowledge {
  /** What all hosts have on each engine. */
  readonly use = new UseBook();

  /** What waits on other hosts. */
  readonly waiting = new WaitingBook();

  /** How the engines did for this host. */
  readonly health = new EngineHealth();

  /** Engines that are changing their role. */
  readonly moves = new EngineMoves();

  /** What was asked of the pools. */
  readonly demand = new DemandBook();
}
