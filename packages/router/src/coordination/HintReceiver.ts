import type { Clock, Millis, ModelId } from '@camphorvane/core';
import { gossipTtlMs } from '@camphorvane/decisions';
import type { EngineKnowledge, InFlightLoad } from '@camphorvane/decisions';
import type { DemandHint, EngineHint, HostDigest, HostHint } from '@camphorvane/peer/hints';
import type { UpstreamSignalRecorder } from '../host/UpstreamSignalRecorder.ts';
import type { EngineProbes } from '../placing/EngineProbes.ts';
import type { ReachMonitor } from '../reach/ReachMonitor.ts';
import type { ConcurrencyShares } from '../serving/ConcurrencyShares.ts';
import type { CrashGuard } from '../serving/CrashGuard.ts';
import type { FairQueues } from '../serving/FairQueues.ts';
import type { TurnRegistry } from '../serving/TurnRegistry.ts';
import type { DeploymentFeed } from './DeploymentFeed.ts';
import type { HostRoster } from './HostRoster.ts';
import type { GossipRateGate } from './GossipRateGate.ts';
import type { SharedRetryBudget } from './SharedRetryBudget.ts';

/** Options of a {@link HintReceiver}: the parts of a host that use what its peers report. */
export interface HintReceiverOptions {
  readonly clock: Clock;
  readonly hosts: HostRoster;
  readonly rates: GossipRateGate;
  readonly config: DeploymentFeed;
  readonly knowledge: EngineKnowledge;
  readonly probes: EngineProbes;
  readonly calls: ConcurrencyShares;
  readonly signals: UpstreamSignalRecorder;
  readonly fairQueues: FairQueues;
  readonly turns: TurnRegistry;
  readonly crashGuard: CrashGuard;
  readonly reach: ReachMonitor;
  readonly retryBudget: SharedRetryBudget;
}

/** Milliseconds for which a digest tells which services hosts reach; digests are less than a second apart. */
const DIGEST_REACH_TTL_MS: Millis = 2_500;

/** Passes received hints and digests to the parts of this host that use them. */
export class HintReceiver {
  private readonly options: HintReceiverOptions;

  /** @param options - The parts of this host. */
  constructor(options: HintReceiverOptions) {
    this.options = options;
  }

  /** Receives the hint of one peer. */
  receive(hint: HostHint): void {
    const { clock, hosts, rates, config, knowledge, probes, calls } = this.options;
    const { signals, fairQueues, turns } = this.options;
    const now = clock.now();
    hosts.receive(hint, now);
    rates.receive(hint);
    if (hint.contact !== undefined) config.receiveContact(hint.host, hint.contact);
    config.receiveVersions(hint.versions);
    config.receiveDrainedZones(hint.drained);
    const { inFlight, demand, roleChanges, peerBacklog } = knowledge;
    inFlight.receive(hint.host, loadsOf(hint.engines), now);
    peerBacklog.receive(hint.host, waitingOf(hint.demand), now);
    demand.receive(hint.host, hint.incarnation, hint.demand, now);
    roleChanges.receive(hint.moves, now);
    probes.receive(hint.down);
    calls.receive(hint.host, new Map(hint.calls), now);
    signals.receive(hint.upstreams);
    if (hint.usage !== undefined) fairQueues.usage.receive(hint.host, hint.usage, now);
    turns.receive(hint.host, hint.quotes);
    knowledge.speeds.receive(hint.callTimes ?? [], now);
    this.receiveRelayed(hint);
    const { reach } = this.options;
    reach.peers.receive(hint.host, hint.reach, now + gossipTtlMs(hint.nextMs), now);
    reach.recordPeerReports();
  }

  /** Receives what this host needs of each hint that it relays, and of those of a full mesh. */
  receiveRelayed(hint: HostHint): void {
    this.receiveSuspicion(hint);
    this.options.retryBudget.receive(hint);
  }

  /** Receives what a hint or a digest reports of requests that crash upstreams. */
  private receiveSuspicion({ suspicion }: Pick<HostHint, 'suspicion'>): void {
    if (suspicion !== undefined) this.options.crashGuard.receive(suspicion);
  }

  /** Receives the sums over all peers from a relay. */
  receiveDigest(digest: HostDigest): void {
    const { clock, hosts, rates, config, knowledge, probes, calls } = this.options;
    const { signals, fairQueues, turns } = this.options;
    const now = clock.now();
    hosts.receiveDigest(digest, now);
    rates.receiveDigest(digest);
    if (digest.contact !== undefined) config.receiveContact(digest.host, digest.contact);
    config.receiveVersions(digest.versions);
    config.receiveDrainedZones(digest.drained);
    const { inFlight, demand, roleChanges, peerBacklog } = knowledge;
    inFlight.receiveSum(loadsOf(digest.engines), digest.hostCount, now);
    peerBacklog.receiveSum(waitingOf(digest.demand), digest.hostCount, now);
    demand.receiveRelayed(`${digest.host} ${digest.incarnation}`, digest.demand, now);
    roleChanges.receive(digest.moves, now);
    probes.receive(digest.down);
    calls.receiveSum(new Map(digest.calls), digest.hostCount, now);
    signals.receive(digest.upstreams);
    if (digest.usage !== undefined) fairQueues.usage.receiveSum(digest.usage, now);
    turns.receiveSum(digest.quotes);
    knowledge.speeds.receive(digest.callTimes ?? [], now);
    this.receiveSuspicion(digest);
    this.options.retryBudget.receiveDigest(digest);
    const { reach } = this.options;
    reach.peers.receiveSummary(digest.reach, now + DIGEST_REACH_TTL_MS, now);
    reach.recordPeerReports();
  }
}

function loadsOf(engines: readonly EngineHint[]): ReadonlyMap<string, InFlightLoad> {
  return new Map(engines.map(({ engine, ...load }): [string, InFlightLoad] => [engine, load]));
}

function waitingOf(demand: readonly DemandHint[]): ReadonlyMap<ModelId, number> {
  return new Map(demand.map(({ model, onTimeWaiting }) => [model, onTimeWaiting]));
}
