import {
  type HostId,
  type Millis,
  RandomSource,
  sleep,
  type TeamConfig,
  VirtualClock,
} from '@camphorvane/core';
import { DEATH_AT_MS, DEATH_SPAN_MS, type RateCase } from './cases.ts';
import { RateGroup } from './RateGroup.ts';
import { SimpleBucket } from './SimpleBucket.ts';

/** Hosts of the group (brief: 6 to 9). */
const HOSTS = 7;

/** Teams, a few of them large. */
const RATES = [8000, 6000, 4000, 1000, 1000, 1000, 500, 500];

/** Burst in seconds of the rate. */
const BURST_SECONDS = 6;

/** Usual demand as a part of the rate, after refunds. */
const USUAL_LOAD = 0.7;

/** Tokens of a request: prompt, allowed output, and the part of the latter that is used. */
const REQUEST = { prompt: 150, allowed: 200, used: 0.5 } as const;

/** How long a request runs before its unused tokens come back. */
const RUN_MS: Millis = 1500;

/** Time in which the group forms before the load starts. */
const WARM_MS: Millis = 12_000;

const LOAD_MS: Millis = 40_000;

/** Counts of one policy. */
export interface RateCount {
  readonly policy: 'shares' | 'rate/N' | 'all-knowing';
  readonly asked: number;
  readonly refused: number;
  /** Refused although the all-knowing bucket admitted. */
  readonly refusedWithin: number;
  /** What the all-knowing bucket admitted. */
  readonly within: number;
}

interface Verdict {
  readonly team: number;
  readonly at: Millis;
  readonly tokens: number;
  readonly shares: boolean;
  readonly fixed: boolean;
  readonly oracle: boolean;
}

interface TeamLoad {
  readonly index: number;
  readonly config: TeamConfig;
  readonly fixed: ReadonlyMap<HostId, SimpleBucket>;
  readonly oracle: SimpleBucket;
}

function teamOf(tokensPerSecond: number, index: number): TeamConfig {
  const rate = { tokensPerSecond, burstTokens: tokensPerSecond * BURST_SECONDS };
  return { id: `team${index}`, rate, keyDigests: [], models: [], weight: 1 };
}

function pick<T>(random: RandomSource, items: readonly T[]): T {
  return items[random.int(0, items.length - 1)] as T;
}

/** Puts one load through the rates of a group and through two other policies at once. */
class RateRun {
  private readonly clock = new VirtualClock();

  private readonly group: RateGroup;

  private readonly teams: readonly TeamLoad[];

  private readonly verdicts: Verdict[] = [];

  constructor(
    private readonly rateCase: RateCase,
    private readonly seed: number,
  ) {
    const configs = RATES.map(teamOf);
    this.group = new RateGroup(this.clock, HOSTS, configs, seed);
    const ids = this.group.live;
    this.teams = configs.map((config, index) => ({
      index,
      config,
      fixed: new Map(ids.map((id) => [id, new SimpleBucket(config.rate, WARM_MS)])),
      oracle: new SimpleBucket(config.rate, WARM_MS),
    }));
  }

  async run(): Promise<readonly Verdict[]> {
    await this.clock.advance(WARM_MS);
    const watched = this.watchedTeams();
    this.teams.forEach((team) => {
      void this.load(team);
    });
    await this.clock.advance(DEATH_AT_MS);
    const victim = this.victim();
    if (victim !== undefined) this.group.kill(victim);
    await this.clock.advance(LOAD_MS - DEATH_AT_MS + RUN_MS);
    this.group.stop();
    await this.clock.advance(RUN_MS);
    return this.verdicts.filter(({ team, at }) => watched.has(team) && this.isCounted(at));
  }

  private victim(): HostId | undefined {
    return this.rateCase.death === undefined ? undefined : this.group.stewardOf('team0');
  }

  /** Gets the teams that a case is about. */
  private watchedTeams(): ReadonlySet<number> {
    const { death, firstTeam } = this.rateCase;
    const steward = this.group.stewardOf('team0');
    const watched = this.teams.filter(({ index, config }) => {
      if (firstTeam !== undefined) return index > 0;
      if (death === undefined) return true;
      return (this.group.stewardOf(config.id) === steward) === (death === 'steward');
    });
    return new Set(watched.map((team) => team.index));
  }

  private isCounted(at: Millis): boolean {
    if (this.rateCase.death === undefined) return true;
    const since = at - WARM_MS - DEATH_AT_MS;
    return since >= 0 && since < DEATH_SPAN_MS;
  }

  private async load(team: TeamLoad): Promise<void> {
    const random = new RandomSource(this.seed * 97 + team.index);
    const { prompt, allowed, used } = REQUEST;
    const multiple = team.index === 0 ? (this.rateCase.firstTeam ?? USUAL_LOAD) : USUAL_LOAD;
    const perSecond = (team.config.rate.tokensPerSecond * multiple) / (prompt + allowed * used);
    const home = pick(random, this.group.live);
    while (this.clock.now() < WARM_MS + LOAD_MS) {
      await sleep(this.clock, random.exponential(1000 / perSecond));
      const { live } = this.group;
      if (live.length === 0) return;
      const isHome = this.rateCase.callers === 'one host' && live.includes(home);
      const host = isHome ? home : pick(random, live);
      const tokens = allowed + Math.ceil(random.exponential(prompt));
      void this.ask(team, host, tokens, Math.floor(allowed * (1 - used)));
    }
  }

  private async ask(team: TeamLoad, host: HostId, tokens: number, unused: number): Promise<void> {
    const at = this.clock.now();
    const part = 1 / Math.max(1, this.group.memberCount);
    const bucket = team.fixed.get(host) as SimpleBucket;
    const oracle = team.oracle.charge(tokens, at);
    const fixed = bucket.charge(tokens, at, part);
    const rates = this.group.ratesOf(host);
    const charge = await rates.charge(team.config.id, tokens);
    const shares = charge.isOk();
    this.verdicts.push({ team: team.index, at, tokens, shares, fixed, oracle });
    await sleep(this.clock, RUN_MS);
    const now = this.clock.now();
    if (oracle) team.oracle.refund(unused, now);
    if (fixed) bucket.refund(unused, now, part);
    if (charge.isOk()) rates.refund(charge.value, unused);
  }
}

function count(
  policy: RateCount['policy'],
  verdicts: readonly Verdict[],
  admitted: (verdict: Verdict) => boolean,
): RateCount {
  const within = verdicts.filter((verdict) => verdict.oracle);
  return {
    policy,
    asked: verdicts.length,
    refused: verdicts.filter((verdict) => !admitted(verdict)).length,
    refusedWithin: within.filter((verdict) => !admitted(verdict)).length,
    within: within.length,
  };
}

/**
 * Runs one case with one seed.
 *
 * @param rateCase - The load and what fails.
 * @param seed - Equal seeds give equal runs.
 * @returns The counts of each policy, over the requests that the case is about.
 */
export async function runRateCase(rateCase: RateCase, seed: number): Promise<readonly RateCount[]> {
  const verdicts = await new RateRun(rateCase, seed).run();
  return [
    count('shares', verdicts, (verdict) => verdict.shares),
    count('rate/N', verdicts, (verdict) => verdict.fixed),
    count('all-knowing', verdicts, (verdict) => verdict.oracle),
  ];
}
