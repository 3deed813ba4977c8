import { RandomSource, SystemClock } from '@camphorvane/core';
import { request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ExecutionRecord } from '../engine/ExecutionRecord.ts';
import { DemoCounts } from './DemoCounts.ts';
import type { DemoTeam } from './demoDeclarations.ts';
import type { DemoAddresses } from './DemoFleet.ts';
import { DemoFleet } from './DemoFleet.ts';
import { demoTeam, setUp } from './demoSetup.ts';
import { runLoad } from './demoLoad.ts';

const SECOND_MS = 1000;
const TOKENS_PER_SECOND = 4000;

const clock = new SystemClock();
const stopped = new AbortController();

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Counts certificates that were issued more than once, as the service itself has noted. */
async function issuedTwice(at: DemoAddresses): Promise<number> {
  const res = await request(`${at.certificates}/test/records`);
  const records = (await res.body.json()) as readonly ExecutionRecord[];
  const issues = records.filter((record) => record.text.startsWith('POST'));
  return issues.length - new Set(issues.map((record) => record.text)).size;
}

function printCurl(at: DemoAddresses, { key }: DemoTeam): void {
  const [host] = at.hosts;
  const auth = `-H 'authorization: Bearer ${key}' -H 'content-type: application/json'`;
  print('\nTry, and end with ctrl-C:');
  print(`  curl -s http://${host}/v1/hosts ${auth}`);
  print(
    `  curl -sN http://${host}/v1/completions ${auth} -d '{"model":"reports","prompt":"hello","max_tokens":20,"stream":true}'`,
  );
  print(
    `  curl -s http://${host}/services/certificates/issue ${auth} -H 'idempotency-key: batch-1' -d '{"batch":1}'`,
  );
}

async function run(fleet: DemoFleet, forMs: number, seed: number, stay: boolean): Promise<boolean> {
  const at = await fleet.start();
  const first = demoTeam('labs', TOKENS_PER_SECOND);
  const second = demoTeam('ports', TOKENS_PER_SECOND);
  const version = await setUp(clock, at, [first, second], stopped.signal);
  print(`configuration in force as version ${version}; all hosts serve`);
  print(`3 hosts, 2 prefill and 2 decode engines, 1 certificate service: load for ${forMs} ms`);
  const random = new RandomSource(seed);
  const counts = new DemoCounts();
  const target = () => ({
    host: at.hosts[random.int(0, at.hosts.length - 1)] ?? '',
    key: (random.int(0, 1) === 0 ? first : second).key,
  });
  await runLoad({ clock, random, counts, target, stopped: stopped.signal }, forMs);
  const twice = await issuedTwice(at);
  counts.lines().forEach(print);
  print(`certificates issued twice: ${twice}`);
  counts.broken.forEach((line) => print(`  ${line}`));
  const dead = fleet.deadProcesses();
  dead.forEach((one) => print(`${one.name} ended by itself: ${one.lastOutput}`));
  if (stay && !stopped.signal.aborted) {
    printCurl(at, first);
    await new Promise<void>((resolve) => {
      stopped.signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }
  const isSound = counts.broken.length === 0 && counts.answeredTwice === 0 && twice === 0;
  return isSound && counts.total > 0 && counts.refusals.size === 0 && dead.length === 0;
}

const args = await yargs(hideBin(process.argv))
  .scriptName('demo')
  .option('seconds', { type: 'number', default: 20, describe: 'How long requests are sent' })
  .option('seed', { type: 'number', default: 7, describe: 'Decides when what is sent' })
  .option('stay', { type: 'boolean', default: false, describe: 'Keeps everything up until ctrl-C' })
  .strict()
  .help()
  .parseAsync();

const end = (): void => stopped.abort();
process.once('SIGINT', end);
process.once('SIGTERM', end);
const fleet = new DemoFleet(clock);
try {
  const isSound = await run(fleet, args.seconds * SECOND_MS, args.seed, args.stay);
  process.exitCode = isSound ? 0 : 1;
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : 'failed'}\n`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
