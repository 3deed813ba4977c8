import {
  answeredOnce,
  answersAreOwnAndWhole,
  attemptsAreUnique,
  everyRequestEnds,
  nonIdempotentAtMostOnce,
  notRunIsTrue,
  positionsAreInOrder,
} from './answerChecks.ts';
import { askedIsGiven } from './askCheck.ts';
import { checkExpectations } from './expectations.ts';
import {
  changesAreAccepted,
  configurationIsInForce,
  drainsCutNothing,
  keysStayInside,
  leavingHostsGetNoWork,
  memoryIsFree,
  versionsOnlyGrow,
  withdrawnKeysStop,
} from './fleetChecks.ts';
import { teamsStayWithinRate } from './rateCheck.ts';
import type { Check } from './RunLog.ts';

/** Every check of every run: the promises first, then what the scenario expects. */
export const ALL_CHECKS: readonly Check[] = [
  memoryIsFree,
  answeredOnce,
  answersAreOwnAndWhole,
  positionsAreInOrder,
  notRunIsTrue,
  nonIdempotentAtMostOnce,
  attemptsAreUnique,
  everyRequestEnds,
  keysStayInside,
  teamsStayWithinRate,
  askedIsGiven,
  versionsOnlyGrow,
  changesAreAccepted,
  configurationIsInForce,
  withdrawnKeysStop,
  leavingHostsGetNoWork,
  drainsCutNothing,
  checkExpectations,
];
