import { randomBytes } from 'node:crypto';
import { RandomSource, sleep, SystemClock } from '@camphorvane/core';
import { applyConfig, parseDeclarations } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/platform';
import { request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ExecutionRecord } from '../engine/ExecutionRecord.ts';
import { DemoCounts } from './DemoCounts.ts';
import { demoDeclarations } from './demoDeclarations.ts';
import type { DemoTeam } from './demoDeclarations.ts';
import type { DemoAddresses } from './DemoFleet.ts';
import { DemoFleet } from './DemoFleet.ts';
import { callCertificates, complete } from './demoCalls.ts';
import { runLoad } from './demoLoad.ts';

const SECOND_MS = 1000;
const READY_LIMIT_MS = 60 * SECOND_MS;
const POLL_MS = 250;

/** Hosts that were just started take a few seconds to agree on who coordinates what. */
const SETTLE_MS = 6 * SECOND_MS;
const KEY_BYTES = 24;

/** About as long as a lookup, since hosts take the speed of engines from what these run. */
const READY_PROMPT = 'is everything ready? '.repeat(30);

const clock = new SystemClock();
const stopped = new AbortController();

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const team = (id: string): DemoTeam => ({
  id,
  key: `cvk_${randomBytes(KEY_BYTES).toString('base64url')}`,
  tokensPerSecond: 4000,
  burstTokens: 20_000,
});

/** Applies the declarations as an operator does. */
async function apply(at: DemoAddresses, teams: readonly DemoTeam[], seed: number): Promise<void> {
  const config = parseDeclarations(demoDeclarations(at, teams), 'demo.toml');
  if (config.isErr()) throw new Error(`declarations: ${JSON.stringify(config.error)}`);
  const store = new HttpObjectStore({ baseUrl: at.platform, clock });
  const context = { store, clock, random: new RandomSource(seed) };
  const change = { changeId: 'demo', base: { type: 'none' as const } };
  const applied = await applyConfig(context, config.value, change);
  if (applied.isErr()) throw new Error(`apply: ${JSON.stringify(applied.error)}`);
  print(`configuration in force as version ${applied.value.version}`);
}

/** Waits until every host answers lookups of both kinds, so that start-up is not measured. */
async function waitUntilReady(at: DemoAddresses, { key }: DemoTeam): Promise<void> {
  const until = clock.now() + READY_LIMIT_MS;
  const isReady = async (host: string): Promise<boolean> => {
    const target = { host, key };
    const work = { kind: 'ready', prompt: READY_PROMPT, maxTokens: 2, class: 'lookup' as const };
    const answers = await Promise.all([
      callCertificates(clock, target, 'ready', 'lookup'),
      complete(clock, target, work),
    ]);
    return answers.every((answer) => answer.outcome.type === 'whole');
  };
  let ready = false;
  while (!ready && clock.now() < until && !stopped.signal.aborted) {
    ready = (await Promise.all(at.hosts.map(isReady))).every(Boolean);
    if (!ready) await sleep(clock, POLL_MS, stopped.signal);
  }
  if (!ready && !stopped.signal.aborted) throw new Error('the hosts did not get ready');
}

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
  const teams = [team('labs'), team('ports')];
  const [first, second] = teams as [DemoTeam, DemoTeam];
  await apply(at, teams, seed);
  await waitUntilReady(at, first);
  print('all hosts answer; they form their group');
  await sleep(clock, SETTLE_MS, stopped.signal);
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
