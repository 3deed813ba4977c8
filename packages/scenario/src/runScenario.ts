import type { ServiceSettings } from '@camphorvane/stand-ins';
import { ALL_CHECKS } from './checks/allChecks.ts';
import { countOutcomes } from './checks/expectations.ts';
import type { OutcomeCounts } from './checks/expectations.ts';
import type { RunLog, Violation } from './checks/RunLog.ts';
import { routingConfigOf } from './language/routingConfig.ts';
import type { Scenario } from './language/scenarioSchema.ts';
import { runStep } from './steps/runStep.ts';
import type { Subject } from './subject/Subject.ts';
import { spreadSeed } from './world/spreadSeed.ts';
import { World } from './world/World.ts';

const SECOND_MS = 1000;
const VERSION_POLL_MS = 500;

/** What came out of one run. */
export interface ScenarioResult {
  readonly name: string;
  readonly seed: number;
  readonly counts: OutcomeCounts;
  readonly violations: readonly Violation[];
}

/** How a run differs from the shipped one; for tests of the checks. */
export interface RunOptions {
  readonly subject: Subject;
  readonly servers?: Partial<ServiceSettings>;
}

function pollVersions(world: World): void {
  world.noteVersions();
  world.clock.after(VERSION_POLL_MS, () => pollVersions(world));
}

function runLog(world: World, startedAt: number): RunLog {
  const { scenario, requests, dispatches, versions, applied } = world;
  const { drains, asked, chooser, upstreams } = world;
  return {
    scenario,
    startedAt,
    endedAt: world.clock.now(),
    requests,
    records: upstreams.records(),
    dispatches,
    versions,
    applied,
    drains,
    asked,
    advice: chooser.given,
    held: upstreams
      .allEngines()
      .map((engine) => ({ engine: engine.id, attempts: engine.currentLoad().attempts }))
      .filter(({ attempts }) => attempts.length > 0),
    up: [...world.slots.values()].filter((slot) => slot.running).map((slot) => slot.id),
  };
}

/**
 * Runs a scenario in virtual time.
 *
 * @param scenario - What happens, and what is expected.
 * @param seed - Equal seeds give equal runs.
 * @param options - The hosts under test.
 * @returns What callers saw and what was violated.
 */
export async function runScenario(
  scenario: Scenario,
  seed: number,
  options: RunOptions,
): Promise<ScenarioResult> {
  const world = new World(scenario, seed, options.subject, options.servers);
  void world.apply(routingConfigOf(scenario));
  await world.clock.advance(SECOND_MS);
  world.slots.forEach((slot) => slot.start());
  pollVersions(world);
  await world.clock.advance(scenario.warm_up * SECOND_MS);
  const startedAt = world.clock.now();
  scenario.step.forEach((step, index) => {
    world.clock.after(step.at * SECOND_MS, () =>
      runStep(world, step, spreadSeed(seed, `step ${index}`)),
    );
  });
  await world.clock.advance((scenario.duration + scenario.settle) * SECOND_MS);
  const log = runLog(world, startedAt);
  return {
    name: scenario.name,
    seed,
    counts: countOutcomes(log.requests),
    violations: ALL_CHECKS.flatMap((check) => check(log)),
  };
}
