import { NO_SIGNALS, RandomSource } from '@camphorvane/core';
import type { RoutingConfig } from '@camphorvane/core';
import { ALL_UPSTREAMS, hostNames, upstreamNames } from '../language/names.ts';
import type { LoadStep, Step } from '../language/scenarioSchema.ts';
import type { World } from '../world/World.ts';

const SECOND_MS = 1000;

/** Undoes what a lasting step did, after its time. */
function undoAfter(world: World, seconds: number | undefined, undo: () => void): void {
  if (seconds !== undefined) world.clock.after(seconds * SECOND_MS, undo);
}

function startLoad(
  world: World,
  step: Extract<LoadStep, { readonly do: 'load' }>,
  seed: number,
): void {
  const random = new RandomSource(seed);
  const until = world.clock.now() + step.for * SECOND_MS;
  const next = (): void => {
    const gap = random.exponential(SECOND_MS / step.per_second);
    if (world.clock.now() + gap > until) return;
    world.clock.after(gap, () => {
      world.send(step);
      next();
    });
  };
  next();
}

/** Gets the two ends of a step with the host first; undefined for a pair without a host. */
function hostFirst(
  world: World,
  [a, b]: readonly [string, string],
): readonly [string, string] | undefined {
  const hosts = hostNames(world.scenario);
  if (hosts.includes(a)) return [a, b];
  return hosts.includes(b) ? [b, a] : undefined;
}

/** Does something to a link, which is either between two hosts or between a host and another end. */
function onLink(
  world: World,
  between: readonly [string, string],
  betweenHosts: (a: string, b: string) => void,
  toEnd: (host: string, end: string) => void,
): void {
  const ends = hostFirst(world, between);
  if (ends === undefined) throw new Error(`no host among ${between.join(', ')}`);
  const [host, end] = ends;
  if (hostNames(world.scenario).includes(end)) betweenHosts(between[0], between[1]);
  else if (end === ALL_UPSTREAMS) upstreamNames(world.scenario).forEach((one) => toEnd(host, one));
  else toEnd(host, end);
}

function heal(world: World, between: readonly [string, string]): void {
  onLink(
    world,
    between,
    (a, b) => world.network.heal(a, b),
    (host, end) => world.wires.heal(host, end),
  );
}

function cut(world: World, step: Extract<Step, { readonly do: 'cut' }>): void {
  onLink(
    world,
    step.between,
    (a, b) => (step.one_way ? world.network.cutOneWay(a, b) : world.network.cut(a, b)),
    (host, end) => world.wires.cut(host, end),
  );
  undoAfter(world, step.for, () => heal(world, step.between));
}

function platform(world: World, step: Extract<Step, { readonly do: 'platform' }>): void {
  const healthy = { down: false, delayMs: 3 };
  const slow = { down: false, delayMs: step.delay * SECOND_MS };
  const faults = { up: healthy, down: { down: true }, slow };
  world.store.setFaults(faults[step.state]);
  undoAfter(world, step.for, () => world.store.setFaults(healthy));
}

function withTeam(
  config: RoutingConfig,
  id: string,
  change: (team: RoutingConfig['teams'][number]) => RoutingConfig['teams'][number],
): RoutingConfig {
  return { ...config, teams: config.teams.map((team) => (team.id === id ? change(team) : team)) };
}

function drain(world: World, host: string): void {
  const slot = world.slot(host);
  world.drains.push({ host, at: world.clock.now(), starts: slot.startCount });
  void slot.drain();
}

function pause(world: World, host: string, seconds: number): void {
  const life = world.slot(host).running?.life;
  life?.pause();
  undoAfter(world, seconds, () => life?.resume());
}

function loseAnswers(world: World, of: string, count: number): void {
  if (of === 'platform') {
    world.store.setFaults({ lostAnswers: world.store.faults.lostAnswers + count });
    return;
  }
  world.upstreams.server(of).loseAnswers(count);
}

/** Has a server ask for fewer requests in its answers; leaving is for good. */
function ask(world: World, step: Extract<Step, { readonly do: 'ask' }>): void {
  const server = world.upstreams.server(step.upstream);
  const from = world.clock.now();
  const to = step.for === undefined ? Infinity : from + step.for * SECOND_MS;
  const signals = {
    requestsPerSecond: step.limit,
    endsLimit: step.limit === undefined && step.rest === undefined,
    leaving: step.leaving,
    restMs: step.rest === undefined ? undefined : step.rest * SECOND_MS,
  };
  server.setSignals(signals);
  world.asked.push({ upstream: step.upstream, signals, from, to });
  undoAfter(world, step.for, () => server.setSignals(NO_SIGNALS));
}

/**
 * Does one step.
 *
 * @param world - Where it happens.
 * @param step - What happens.
 * @param seed - Decides the arrivals of a load.
 */
export function runStep(world: World, step: Step, seed: number): void {
  const { upstreams } = world;
  switch (step.do) {
    case 'load':
      startLoad(world, step, seed);
      return;
    case 'burst':
      Array.from({ length: step.count }).forEach(() => world.send(step));
      return;
    case 'request':
      world.send(step);
      return;
    case 'kill_host':
      world.slot(step.host).kill(step.power_loss);
      return;
    case 'restart_host':
      world.slot(step.host).kill(false);
      world.slot(step.host).start();
      return;
    case 'pause_host':
      pause(world, step.host, step.for);
      return;
    case 'drain_host':
      drain(world, step.host);
      return;
    case 'cut':
      cut(world, step);
      return;
    case 'heal':
      heal(world, step.between);
      return;
    case 'silence':
      onLink(
        world,
        step.between,
        (a, b) => world.network.silence(a, b),
        (host, end) => world.wires.silence(host, end),
      );
      return;
    case 'platform':
      platform(world, step);
      return;
    case 'lose_answers':
      loseAnswers(world, step.of, step.count);
      return;
    case 'withdraw_key':
      void world.apply(withTeam(world.config, step.team, (team) => ({ ...team, keyDigests: [] })));
      return;
    case 'set_rate':
      void world.apply(
        withTeam(world.config, step.team, (team) => ({
          ...team,
          rate: { tokensPerSecond: step.rate, burstTokens: step.burst },
        })),
      );
      return;
    case 'crash':
      upstreams.any(step.upstream).crash();
      return;
    case 'hang':
      upstreams.any(step.upstream).setFaults({ silent: true });
      undoAfter(world, step.for, () => upstreams.any(step.upstream).setFaults({ silent: false }));
      return;
    case 'slow':
      upstreams.any(step.upstream).setFaults({ slowFactor: step.factor });
      undoAfter(world, step.for, () => upstreams.any(step.upstream).setFaults({ slowFactor: 1 }));
      return;
    case 'heat':
      upstreams.any(step.upstream).setFaults({ capacity: step.capacity });
      undoAfter(world, step.for, () => upstreams.any(step.upstream).setFaults({ capacity: 1 }));
      return;
    case 'cross_answers':
      upstreams.any(step.upstream).setFaults({ crossedStreams: step.count });
      return;
    case 'stall_transfers':
      upstreams.any(step.upstream).setFaults({ stalledTransfers: step.count });
      return;
    case 'ask':
      ask(world, step);
      return;
    case 'poison':
      upstreams.setFaults({ poison: step.text });
      return;
    default:
      throw new Error(`unknown step ${JSON.stringify(step satisfies never)}`);
  }
}
