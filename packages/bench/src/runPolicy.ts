import { World } from './physics/World.ts';
import { Camphorvane } from './policies/Camphorvane.ts';
import { LeastLoad } from './policies/LeastLoad.ts';
import type { PolicyName } from './policies/names.ts';
import { ORACLE_VARIANTS, Oracle } from './policies/Oracle.ts';
import type { Policy, PolicyContext } from './policies/Policy.ts';
import { RoundRobin } from './policies/RoundRobin.ts';
import { OutcomeBook } from './report/OutcomeBook.ts';
import { type RunReport, reportRun } from './report/RunReport.ts';
import { makeRequests } from './workload/makeRequests.ts';
import type { Workload } from './workload/Workload.ts';

type MakePolicy = (ctx: PolicyContext) => Policy;

const MAKERS: Readonly<Record<PolicyName, readonly MakePolicy[]>> = {
  'round-robin': [(ctx) => new RoundRobin(ctx)],
  'least-load': [(ctx) => new LeastLoad(ctx)],
  camphorvane: [(ctx) => new Camphorvane(ctx)],
  oracle: ORACLE_VARIANTS.map((variant) => (ctx: PolicyContext) => new Oracle(ctx, variant)),
};

/** A run that goes on this long after the last arrival has a request that never ends. */
const LONGEST_TAIL_MS = 600_000;

/**
 * Runs a workload under a policy; the same arguments give the same report.
 *
 * @param workload - The workload.
 * @param seed - Any integer.
 * @param name - The policy; of the oracle's variants the best counts.
 */
export function runPolicy(workload: Workload, seed: number, name: PolicyName): RunReport {
  const reports = MAKERS[name].map((make) => runOnce(workload, seed, make));
  return reports.reduce((best, next) => (next.good > best.good ? next : best));
}

function runOnce(workload: Workload, seed: number, make: MakePolicy): RunReport {
  const world = new World(workload, seed);
  const requests = makeRequests(workload, seed);
  const book = new OutcomeBook(requests);
  const policy = make({ world, book, seed });
  requests.forEach((request) => world.timeline.at(request.arrivesAt, () => policy.arrive(request)));
  const latest = workload.seconds * 1000 + LONGEST_TAIL_MS;
  world.timeline.run(() => book.open === 0 || world.timeline.now > latest);
  if (book.open > 0) throw new Error(`${book.open} requests never ended.`);
  return reportRun(book.outcomes, world.totals, workload.itlTargetMs);
}
