import { RandomSource, SystemClock } from '@camphorvane/core';
import { HttpModelEngine } from '@camphorvane/upstream';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { sendCompletion } from '../demo/demoCalls.ts';
import { demoTeam, setUpFleet } from '../demo/demoSetup.ts';
import type { DemoAddresses } from '../demo/DemoFleet.ts';
import { DemoFleet } from '../demo/DemoFleet.ts';

const MICROS_PER_MS = 1_000;
const OUTPUT_TOKENS = 40;
const PROMPT = 'which solvent for this batch? '.repeat(30);
const TEAM_TOKENS_PER_SECOND = 200_000;
const PRIORITY = 0;

const clock = new SystemClock();
const neverAborted = new AbortController().signal;

/** Time to first token and token intervals of one path, in microseconds. */
interface LatencyHistograms {
  readonly firstToken: Histogram;
  readonly intervals: Histogram;
}

const newHistograms = (): LatencyHistograms => ({ firstToken: build(), intervals: build() });

/** Sends a request directly to the engines: prefill, transfer, then decode. */
async function requestDirectly(
  at: DemoAddresses,
  id: string,
  latencies: LatencyHistograms,
): Promise<void> {
  const [prefillUrl = ''] = at.prefill;
  const [decodeUrl = ''] = at.decode;
  const prefillEngine = new HttpModelEngine('p1', prefillUrl, clock);
  const decodeEngine = new HttpModelEngine('d1', decodeUrl, clock);
  const started = clock.now();
  const cmd = { attempt: id, model: 'reports', continuation: '', priority: PRIORITY };
  const prefill = await prefillEngine.prefill({ ...cmd, prompt: `${id} ${PROMPT}` }, neverAborted);
  if (prefill.isErr()) throw new Error(prefill.error.message);
  const { kvHandle } = prefill.value;
  const transferred = await decodeEngine.transfer(
    { attempt: id, kvHandle, sourceUrl: prefillUrl, pieces: 1 },
    neverAborted,
  );
  if (transferred.isErr()) throw new Error(transferred.error.message);
  const decode = {
    attempt: id,
    kvHandle,
    maxTokens: OUTPUT_TOKENS,
    fromPosition: 0,
    priority: PRIORITY,
  };
  let lastAt: number | undefined;
  for await (const event of decodeEngine.decode(decode, neverAborted)) {
    if (event.isErr()) throw new Error(event.error.message);
    const now = clock.now();
    if (event.value.type === 'token') {
      if (lastAt === undefined) latencies.firstToken.recordValue((now - started) * MICROS_PER_MS);
      else latencies.intervals.recordValue((now - lastAt) * MICROS_PER_MS);
      lastAt = now;
    }
  }
  await Promise.all([prefillEngine.close(), decodeEngine.close()]);
}

/** Sends a request through a host. */
async function requestThroughHost(
  host: string,
  key: string,
  id: string,
  latencies: LatencyHistograms,
): Promise<void> {
  const completion = {
    kind: 'overhead',
    prompt: `${id} ${PROMPT}`,
    maxTokens: OUTPUT_TOKENS,
    class: 'lookup' as const,
  };
  const answer = await sendCompletion(clock, { host, key }, completion);
  if (answer.outcome.type !== 'whole') throw new Error(JSON.stringify(answer.outcome));
  latencies.firstToken.recordValue((answer.firstMs ?? 0) * MICROS_PER_MS);
  answer.gapsMs.forEach((gap) => latencies.intervals.recordValue(gap * MICROS_PER_MS));
}

function formatRow(name: string, { firstToken, intervals }: LatencyHistograms): string {
  const cells = [firstToken, intervals].flatMap((histogram) =>
    [50, 99].map((p) => (histogram.getValueAtPercentile(p) / MICROS_PER_MS).toFixed(1)),
  );
  return [name.padEnd(14), ...cells.map((cell) => cell.padStart(11))].join('');
}

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run bench:overhead --')
  .usage(
    '$0 [options]\n\nCompares latencies of requests through a host and directly to the engines.',
  )
  .option('requests', { type: 'number', default: 100, describe: 'Requests on each path' })
  .strict()
  .help()
  .parseAsync();

const fleet = new DemoFleet(clock);
try {
  const at = await fleet.start();
  const team = demoTeam('labs', TEAM_TOKENS_PER_SECOND);
  await setUpFleet(clock, at, [team], neverAborted);
  const random = new RandomSource(1);
  const direct = newHistograms();
  const routed = newHistograms();
  let remaining = args.requests;
  while (remaining > 0) {
    await requestDirectly(at, `direct-${remaining}`, direct);
    const host = at.hosts[random.int(0, at.hosts.length - 1)] ?? '';
    await requestThroughHost(host, team.key, `routed-${remaining}`, routed);
    remaining -= 1;
  }
  const headings = ['first p50', 'first p99', 'gap p50', 'gap p99'].map((heading) =>
    heading.padStart(11),
  );
  process.stdout.write(`${['ms'.padEnd(14), ...headings].join('')}\n`);
  process.stdout.write(`${formatRow('engines', direct)}\n${formatRow('through hosts', routed)}\n`);
} finally {
  await fleet.stop();
}
