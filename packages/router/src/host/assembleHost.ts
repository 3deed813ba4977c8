import type { CallerBackend } from '@camphorvane/caller';
import type { HostId, Incarnation } from '@camphorvane/core';
import { RetryBudget } from '@camphorvane/decisions';
import { DEFAULT_MEMBERSHIP, memberKey } from '@camphorvane/group';
import { GroupAuthority, GroupRunner, TeamRates } from '@camphorvane/peer';
import {
  BudgetedStore,
  CallBudget,
  ClaimSweeper,
  ConfigFollower,
  DEFAULT_RETENTION_MS,
  IdempotencyClaims,
  KeyRing,
} from '@camphorvane/store';
import { EngineWatch } from '../placing/EngineWatch.ts';
import { FallbackPlacer } from '../placing/FallbackPlacer.ts';
import { PlacementClient } from '../placing/PlacementClient.ts';
import { ReservationKeeper } from '../placing/ReservationKeeper.ts';
import { StewardDesk } from '../placing/StewardDesk.ts';
import { CompletionServing } from '../serving/CompletionServing.ts';
import { CrashDesk } from '../serving/CrashDesk.ts';
import { ServiceGates } from '../serving/ServiceGates.ts';
import { ServiceServing } from '../serving/ServiceServing.ts';
import { Authenticator } from './Authenticator.ts';
import { ConfigRelay } from './ConfigRelay.ts';
import { GroupAdapter } from './GroupAdapter.ts';
import { HostBackend } from './HostBackend.ts';
import type { HostOptions } from './HostOptions.ts';
import { InFlight } from './InFlight.ts';
import { UpstreamDirectory } from './UpstreamDirectory.ts';

/** What agrees with other hosts: membership, configuration, keys, claims. */
export interface SharedParts {
  readonly runner: GroupRunner;
  readonly group: GroupAdapter;
  readonly relay: ConfigRelay;
  readonly config: ConfigFollower;
  readonly keys: KeyRing;
  readonly claims: IdempotencyClaims;
  readonly sweeper: ClaimSweeper;
  readonly rates: TeamRates;
  readonly crashes: CrashDesk;
}

/** What places work on upstreams. */
export interface PlacingParts {
  readonly directory: UpstreamDirectory;
  readonly desk: StewardDesk;
  readonly fallback: FallbackPlacer;
  readonly placements: PlacementClient;
  readonly keeper: ReservationKeeper;
  readonly watch: EngineWatch;
  readonly gates: ServiceGates;
}

/** All parts of a host. */
export interface HostParts extends SharedParts, PlacingParts {
  readonly inFlight: InFlight;
  readonly backend: CallerBackend;
}

/**
 * Makes the parts of a host and joins them; nothing runs yet.
 *
 * @param options - What the host is made of.
 * @param isDraining - Tells whether the host takes no new work.
 * @returns The parts.
 */
export function assembleHost(options: HostOptions, isDraining: () => boolean): HostParts {
  const shared = assembleShared(options);
  const placing = assemblePlacing(options, shared);
  const inFlight = new InFlight();
  const backend = assembleBackend(options, shared, placing, inFlight, isDraining);
  return { ...shared, ...placing, inFlight, backend };
}

function assembleShared(options: HostOptions): SharedParts {
  const { clock, random, store, link, identity, incarnation } = options;
  const budget = new CallBudget(clock, CallBudget.ratesFor(options.fleetHosts));
  const runner = new GroupRunner({
    group: options.group,
    self: { ...identity, incarnation },
    settings: { ...DEFAULT_MEMBERSHIP, maxMembers: options.groupSize },
    clock,
    random,
    store: new BudgetedStore(store, budget, 'membership'),
    link,
  });
  const group = new GroupAdapter(runner, { ...identity, leaving: false }, clock);
  const relay = new ConfigRelay({ self: identity.host, clock, group, link });
  const config = new ConfigFollower({
    store: new BudgetedStore(store, budget, 'config'),
    clock,
    random,
    peers: relay,
  });
  const claims = new IdempotencyClaims({
    store: new BudgetedStore(store, budget, 'claims'),
    clock,
    random,
    holderState: (host, start) => holderState(runner, host, start),
  });
  const sweeper = new ClaimSweeper({
    store: new BudgetedStore(store, budget, 'status'),
    clock,
    random,
    retentionMs: DEFAULT_RETENTION_MS,
  });
  const selfKey = memberKey({ host: identity.host, incarnation });
  const authority = new GroupAuthority(runner, selfKey);
  const rates = new TeamRates({ clock, link, authority });
  const crashes = new CrashDesk({ self: identity.host, clock, group, link });
  return { runner, group, relay, config, keys: new KeyRing(), claims, sweeper, rates, crashes };
}

function assemblePlacing(options: HostOptions, { group }: SharedParts): PlacingParts {
  const { clock, random, link, identity, incarnation } = options;
  const hostCount = (): number => group.members().length;
  const directory = new UpstreamDirectory(options.engines, options.servers);
  const desk = new StewardDesk({ clock, random, group, directory, incarnation });
  const fallback = new FallbackPlacer({ clock, random, directory, hostCount, incarnation });
  const placements = new PlacementClient({
    self: identity.host,
    clock,
    group,
    link,
    desk,
    fallback,
  });
  return {
    directory,
    desk,
    fallback,
    placements,
    keeper: new ReservationKeeper(clock, placements),
    watch: new EngineWatch(clock, placements),
    gates: new ServiceGates(clock, directory, hostCount),
  };
}

function assembleBackend(
  options: HostOptions,
  shared: SharedParts,
  placing: PlacingParts,
  inFlight: InFlight,
  isDraining: () => boolean,
): CallerBackend {
  const { clock, random, metrics, identity, incarnation } = options;
  const { config, group, rates, claims } = shared;
  const { directory, gates } = placing;
  return new HostBackend({
    clock,
    random,
    incarnation,
    authenticator: new Authenticator(config, shared.keys),
    config,
    group,
    directory,
    inFlight,
    completions: new CompletionServing({
      ...placing,
      self: identity.host,
      clock,
      metrics,
      rates,
      retries: new RetryBudget(),
      crashes: shared.crashes,
    }),
    services: new ServiceServing({
      clock,
      directory,
      gates,
      rates,
      claims,
      self: { host: identity.host, incarnation },
      metrics,
    }),
    metrics,
    isDraining,
  });
}

/** A member of the epoch may still be running its call; one that is no longer there never will. */
function holderState(
  runner: GroupRunner,
  host: HostId,
  incarnation: Incarnation,
): 'live' | 'gone' | 'unknown' {
  const view = runner.view();
  if (view.epoch === 0) return 'unknown';
  const isMember = view.members.some(
    (member) => member.host === host && member.incarnation === incarnation,
  );
  return isMember ? 'live' : 'gone';
}
