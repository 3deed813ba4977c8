import { RandomSource, SystemClock } from '@camphorvane/core';
import { request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ExecutionRecord } from '../engine/ExecutionRecord.ts';
import { DemoResults } from './DemoResults.ts';
import type { DemoTeam } from './demoDeclarations.ts';
import type { DemoAddresses } from './DemoFleet.ts';
import { DemoFleet } from './DemoFleet.ts';
import { demoTeam, setUpFleet } from './demoSetup.ts';
import { runLoad } from './demoLoad.ts';

const SECOND_MS = 1000;
const TOKENS_PER_SECOND = 4000;

const clock = new SystemClock();
const stopped = new AbortController();

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Counts repeated issues of certificates in the execution records of the service. */
async function countRepeatedIssues(at: DemoAddresses): Promise<number> {
  const res = await request(`${at.certificates}/test/records`);
  const records = (await res.body.json()) as readonly ExecutionRecord[];
  const issues = records.filter((record) => record.text.startsWith('POST'));
  return issues.length - new Set(issues.map((record) => record.text)).size;
}

function printCurl(at: DemoAddresses, { key }: DemoTeam): void {
  const [host] = at.hosts;
  const auth = `-H 'authorization: Bearer ${key}' -H 'content-type: application/json'`;
  printLine('\nTry, and end with ctrl-C:');
  printLine(`  curl -s http://${host}/v1/hosts ${auth}`);
  printLine(
    `  curl -sN http://${host}/v1/completions ${auth} -d '{"model":"reports","prompt":"hello","max_tokens":20,"stream":true}'`,
  );
  printLine(
    `  curl -s http://${host}/services/certificates/issue ${auth} -H 'idempotency-key: batch-1' -d '{"batch":1}'`,
  );
}

async function run(fleet: DemoFleet, forMs: number, seed: number, stay: boolean): Promise<boolean> {
  const at = await fleet.start();
  const first = demoTeam('labs', TOKENS_PER_SECOND);
  const second = demoTeam('ports', TOKENS_PER_SECOND);
  const version = await setUpFleet(clock, at, [first, second], stopped.signal);
  printLine(`configuration in force as version ${version}; all hosts serve`);
  printLine(`3 hosts, 2 prefill and 2 decode engines, 1 certificate service: load for ${forMs} ms`);
  const random = new RandomSource(seed);
  const counts = new DemoResults();
  const target = () => ({
    host: at.hosts[random.int(0, at.hosts.length - 1)] ?? '',
    key: (random.int(0, 1) === 0 ? first : second).key,
  });
  await runLoad({ clock, random, counts, target, stopped: stopped.signal }, forMs);
  const repeatedIssues = await countRepeatedIssues(at);
  counts.lines().forEach(printLine);
  printLine(`certificates issued twice: ${repeatedIssues}`);
  counts.broken.forEach((line) => printLine(`  ${line}`));
  const dead = fleet.exitedProcesses();
  dead.forEach((proc) => printLine(`${proc.name} exited unexpectedly: ${proc.lastOutput}`));
  if (stay && !stopped.signal.aborted) {
    printCurl(at, first);
    await new Promise<void>((resolve) => {
      stopped.signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }
  const isPassed = counts.broken.length === 0 && counts.answeredTwice === 0 && repeatedIssues === 0;
  return isPassed && counts.total > 0 && counts.refusals.size === 0 && dead.length === 0;
}

const args = await yargs(hideBin(process.argv))
  .scriptName('demo')
  .option('seconds', {
    type: 'number',
    default: 20,
    describe: 'Duration in seconds for which requests are sent',
  })
  .option('seed', {
    type: 'number',
    default: 7,
    describe: 'Seed for request times, hosts and teams',
  })
  .option('stay', {
    type: 'boolean',
    default: false,
    describe: 'Keeps all processes running until ctrl-C',
  })
  .strict()
  .help()
  .parseAsync();

const abort = (): void => stopped.abort();
process.once('SIGINT', abort);
process.once('SIGTERM', abort);
const fleet = new DemoFleet(clock);
try {
  const isPassed = await run(fleet, args.seconds * SECOND_MS, args.seed, args.stay);
  process.exitCode = isPassed ? 0 : 1;
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : 'failed'}\n`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
