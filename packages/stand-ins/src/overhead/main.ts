import { RandomSource, SystemClock } from '@camphorvane/core';
import { HttpModelEngine } from '@camphorvane/upstream';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { complete } from '../demo/demoCalls.ts';
import { demoTeam, setUp } from '../demo/demoSetup.ts';
import type { DemoAddresses } from '../demo/DemoFleet.ts';
import { DemoFleet } from '../demo/DemoFleet.ts';

const MICROS = 1_000;
const TOKENS = 40;
const PROMPT = 'which solvent for this batch? '.repeat(30);
const TOKENS_PER_SECOND = 200_000;
const PRIORITY = 0;

const clock = new SystemClock();
const never = new AbortController().signal;

/** What one way of asking took. */
interface Times {
  readonly first: Histogram;
  readonly gaps: Histogram;
}

const newTimes = (): Times => ({ first: build(), gaps: build() });

/** Asks the engines themselves: prefill, transfer, decode, one after the other. */
async function askDirectly(at: DemoAddresses, id: string, times: Times): Promise<void> {
  const [prefillUrl = ''] = at.prefill;
  const [decodeUrl = ''] = at.decode;
  const prefillEngine = new HttpModelEngine('p1', prefillUrl, clock);
  const decodeEngine = new HttpModelEngine('d1', decodeUrl, clock);
  const started = clock.now();
  const cmd = { attempt: id, model: 'reports', continuation: '', priority: PRIORITY };
  const prefill = await prefillEngine.prefill({ ...cmd, prompt: `${id} ${PROMPT}` }, never);
  if (prefill.isErr()) throw new Error(prefill.error.message);
  const { kvHandle } = prefill.value;
  const moved = await decodeEngine.transfer(
    { attempt: id, kvHandle, sourceUrl: prefillUrl, pieces: 1 },
    never,
  );
  if (moved.isErr()) throw new Error(moved.error.message);
  const decode = { attempt: id, kvHandle, maxTokens: TOKENS, fromPosition: 0, priority: PRIORITY };
  let last: number | undefined;
  for await (const event of decodeEngine.decode(decode, never)) {
    if (event.isErr()) throw new Error(event.error.message);
    const now = clock.now();
    if (event.value.type === 'token') {
      if (last === undefined) times.first.recordValue((now - started) * MICROS);
      else times.gaps.recordValue((now - last) * MICROS);
      last = now;
    }
  }
  await Promise.all([prefillEngine.close(), decodeEngine.close()]);
}

async function askHost(host: string, key: string, id: string, times: Times): Promise<void> {
  const work = {
    kind: 'overhead',
    prompt: `${id} ${PROMPT}`,
    maxTokens: TOKENS,
    class: 'lookup' as const,
  };
  const answer = await complete(clock, { host, key }, work);
  if (answer.outcome.type !== 'whole') throw new Error(JSON.stringify(answer.outcome));
  times.first.recordValue((answer.firstMs ?? 0) * MICROS);
  answer.gapsMs.forEach((gap) => times.gaps.recordValue(gap * MICROS));
}

function row(name: string, { first, gaps }: Times): string {
  const cells = [first, gaps].flatMap((histogram) =>
    [50, 99].map((p) => (histogram.getValueAtPercentile(p) / MICROS).toFixed(1)),
  );
  return [name.padEnd(14), ...cells.map((cell) => cell.padStart(11))].join('');
}

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run bench:overhead --')
  .usage('$0 [options]\n\nCompares asking a host with asking the engines, side by side.')
  .option('requests', { type: 'number', default: 100, describe: 'Requests each way' })
  .strict()
  .help()
  .parseAsync();

const fleet = new DemoFleet(clock);
try {
  const at = await fleet.start();
  const team = demoTeam('labs', TOKENS_PER_SECOND);
  await setUp(clock, at, [team], never);
  const random = new RandomSource(1);
  const direct = newTimes();
  const routed = newTimes();
  let left = args.requests;
  while (left > 0) {
    await askDirectly(at, `direct-${left}`, direct);
    const host = at.hosts[random.int(0, at.hosts.length - 1)] ?? '';
    await askHost(host, team.key, `routed-${left}`, routed);
    left -= 1;
  }
  const heads = ['first p50', 'first p99', 'gap p50', 'gap p99'].map((head) => head.padStart(11));
  process.stdout.write(`${['ms'.padEnd(14), ...heads].join('')}\n`);
  process.stdout.write(`${row('engines', direct)}\n${row('through hosts', routed)}\n`);
} finally {
  await fleet.stop();
}
