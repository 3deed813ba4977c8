import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ExplorableProtocol } from './ExplorableProtocol.ts';
import type { Exploration, Violation } from './ExploredProtocol.ts';
import { PROTOCOLS } from './protocols.ts';

const DEFAULT_MAX_STATES = 400_000;
const DEFAULT_RUNS = 200;
const DEFAULT_RUN_LENGTH = 3_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printViolation(violation: Violation): void {
  print(`  VIOLATED: ${violation.invariant}: ${violation.message}`);
  violation.trace.forEach((line, index) => print(`    ${index + 1}. ${line}`));
}

function report(title: string, found: Exploration): number {
  const end = found.truncated ? ' (stopped at the bound on states)' : '';
  const counts = `${found.statesVisited} states, ${found.transitions} transitions`;
  print(`${title}: ${counts}, depth ${found.depth}${end}`);
  found.violations.forEach(printViolation);
  if (found.violations.length === 0) print('  no invariant violated');
  return found.violations.length;
}

const args = await yargs(hideBin(process.argv))
  .scriptName('explore')
  .usage('$0 [options]\n\nSearches the protocols between hosts for violated invariants.')
  .option('protocol', {
    choices: ['all', ...PROTOCOLS.map((protocol) => protocol.name)],
    default: 'all',
    describe: 'protocol to search',
  })
  .option('depth', {
    type: 'number',
    describe: 'largest number of actions in a trace of the exhaustive search',
  })
  .option('seed', { type: 'number', default: 1, describe: 'seed of the random runs' })
  .option('hosts', { type: 'number', describe: 'number of hosts' })
  .option('mutation', {
    type: 'string',
    describe: 'break one safety rule; the search must find a violation',
  })
  .option('max-states', {
    type: 'number',
    default: DEFAULT_MAX_STATES,
    describe: 'largest number of states to visit, which bounds the memory',
  })
  .option('runs', { type: 'number', default: DEFAULT_RUNS, describe: 'number of random runs' })
  .option('length', {
    type: 'number',
    default: DEFAULT_RUN_LENGTH,
    describe: 'number of actions in a random run',
  })
  .example('$0 --depth 8 --seed 1', 'search all protocols')
  .example('$0 --protocol membership --mutation no-wait', 'search a variant with a broken rule')
  .strict()
  .parse();

function explore(protocol: ExplorableProtocol): number {
  const { mutation, seed, runs, length } = args;
  const hosts = args.hosts ?? protocol.defaultHosts;
  const depth = args.depth ?? protocol.defaultDepth;
  const stopAtFirst = mutation !== undefined;
  const bounds = { depth, maxStates: args.maxStates, stopAtFirst };
  const title = `${protocol.name}${mutation === undefined ? '' : ` (${mutation})`}, ${hosts} hosts`;
  const all = report(`${title}, all`, protocol.searchAll(hosts, mutation, bounds));
  if (stopAtFirst && all > 0) return all;
  const random = protocol.searchRandomly(hosts, mutation, { runs, length, seed });
  return all + report(`${title}, random`, random);
}

const chosen = PROTOCOLS.filter(({ name }) => args.protocol === 'all' || args.protocol === name);
const unknown =
  args.mutation !== undefined &&
  !chosen.some(({ mutations }) => mutations.includes(args.mutation ?? ''));
if (unknown) {
  const known = chosen.flatMap(({ name, mutations }) =>
    mutations.map((item) => `${name}: ${item}`),
  );
  process.stderr.write(
    `unknown mutation ${args.mutation}; known mutations:\n${known.join('\n')}\n`,
  );
  process.exitCode = 2;
} else {
  const violations = chosen
    .filter(({ mutations }) => args.mutation === undefined || mutations.includes(args.mutation))
    .reduce((sum, protocol) => sum + explore(protocol), 0);
  process.exitCode = violations > 0 ? 1 : 0;
}
