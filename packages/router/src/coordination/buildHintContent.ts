import type { Clock } from '@camphorvane/core';
import type { EngineKnowledge, UpstreamAdmission } from '@camphorvane/decisions';
import type { LocalPlacer } from '../placing/LocalPlacer.ts';
import type { CrashGuard } from '../serving/CrashGuard.ts';
import type { DeploymentFeed } from './DeploymentFeed.ts';
import type { GossipRateGate } from './GossipRateGate.ts';
import type { CoordinationContext } from './HostCoordination.ts';
import type { SharedRetryBudget } from './SharedRetryBudget.ts';
import type { HintContent } from './PeerGossip.ts';

/** The parts of a host whose state its hints report. */
export interface HintSources {
  readonly context: Pick<
    CoordinationContext,
    'concurrencyShares' | 'fairQueues' | 'turns' | 'reach'
  >;
  readonly clock: Clock;
  readonly config: DeploymentFeed;
  readonly rates: GossipRateGate;
  readonly placer: LocalPlacer;
  readonly knowledge: EngineKnowledge;
  readonly admission: UpstreamAdmission;
  readonly crashGuard: CrashGuard;
  readonly retryBudget: SharedRetryBudget;
}

/**
 * Gets the content of a host's next hint.
 *
 * @param sources - The parts of the host.
 * @param state - Whether the host is leaving, and whether it watches the store and gets answers.
 * @returns The content.
 */
export function buildHintContent(
  sources: HintSources,
  { leaving, watching }: { readonly leaving: boolean; readonly watching: boolean },
): HintContent {
  const { context, clock, config, rates, placer, knowledge, admission, crashGuard } = sources;
  const { retryBudget } = sources;
  const now = clock.now();
  const contact = config.getContact();
  return {
    leaving,
    ...(watching ? { watching: true } : {}),
    engines: [...knowledge.inFlight.getOwn()].map(([engine, load]) => ({ engine, ...load })),
    charged: rates.getChargedTotals(),
    demand: knowledge.demand
      .getOwnTotals()
      .map((one) => ({ ...one, onTimeWaiting: placer.countOnTime(one.model) })),
    moves: knowledge.roleChanges.getOwnChanges(now),
    down: placer.probes.getDownEngines(),
    calls: [...context.concurrencyShares.countLocal()],
    versions: config.getVersions(),
    ...(contact === undefined ? {} : { contact }),
    drained: config.drains.get(),
    upstreams: admission.constraints.getReports(now),
    usage: context.fairQueues.getReport(),
    quotes: context.turns.getQuotes(),
    callTimes: knowledge.speeds.getReports(now),
    suspicion: crashGuard.getReports('peers'),
    reach: context.reach.getReport(),
    retries: retryBudget.getReport(now),
  };
}
