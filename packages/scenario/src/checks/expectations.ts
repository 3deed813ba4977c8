import { lastSend } from '../callers/RequestLog.ts';
import type { RequestLog, SendOutcome } from '../callers/RequestLog.ts';
import type { Expectation } from '../language/scenarioSchema.ts';
import type { RunLog, Violation } from './RunLog.ts';
import { violation } from './RunLog.ts';

const SECOND_MS = 1000;
const P95 = 0.95;

/** What became of some requests, counted. */
export interface OutcomeCounts {
  readonly sent: number;
  readonly byOutcome: Readonly<Record<SendOutcome['type'], number>>;
  readonly byCode: Readonly<Record<string, number>>;
  readonly firstTokenP95: number | undefined;
  readonly longestMs: number;
}

function countBy(values: readonly string[]): Readonly<Record<string, number>> {
  return values.reduce<Record<string, number>>(
    (counts, value) => ({ ...counts, [value]: (counts[value] ?? 0) + 1 }),
    {},
  );
}

function firstTokenMs({ sends }: RequestLog): readonly number[] {
  const first = sends[0];
  const last = sends.at(-1);
  if (first === undefined || last?.firstTokenAt === undefined) return [];
  return [last.firstTokenAt - first.at];
}

/** Counts what became of requests. */
export function countOutcomes(requests: readonly RequestLog[]): OutcomeCounts {
  const outcomes = requests.flatMap((entry) => lastSend(entry)?.outcome ?? []);
  const none = {
    whole: 0,
    refused: 0,
    broken: 0,
    connection_refused: 0,
    unanswered: 0,
    left: 0,
  };
  const codes = outcomes.flatMap((one) => (one.type === 'refused' ? [one.refusal.code] : []));
  const firsts = requests.flatMap(firstTokenMs).sort((a, b) => a - b);
  const spans = requests.map(({ sends }) => (sends.at(-1)?.endedAt ?? 0) - (sends[0]?.at ?? 0));
  return {
    sent: requests.length,
    byOutcome: { ...none, ...countBy(outcomes.map((one) => one.type)) },
    byCode: countBy(codes),
    firstTokenP95: firsts[Math.max(0, Math.ceil(firsts.length * P95) - 1)],
    longestMs: Math.max(0, ...spans),
  };
}

function selected(log: RunLog, expectation: Expectation): readonly RequestLog[] {
  return log.requests.filter(({ request, sends }) => {
    const at = ((sends[0]?.at ?? log.startedAt) - log.startedAt) / SECOND_MS;
    const labelled = expectation.of === undefined || expectation.of === request.work.label;
    return labelled && at >= expectation.from && at <= expectation.to;
  });
}

type Limit = readonly [string, number | undefined, number | undefined, 'min' | 'max'];

function limitsOf(expectation: Expectation, counts: OutcomeCounts): readonly Limit[] {
  const { whole, refused, broken, connection_refused: unreached, unanswered } = counts.byOutcome;
  const share = counts.sent === 0 ? 0 : whole / counts.sent;
  return [
    ['sent', counts.sent, expectation.sent_min, 'min'],
    ['whole', whole, expectation.whole_min, 'min'],
    ['whole', whole, expectation.whole_max, 'max'],
    ['share of whole', share, expectation.whole_share_min, 'min'],
    ['refused', refused, expectation.refused_max, 'max'],
    ['broken', broken + unreached + unanswered, expectation.broken_max, 'max'],
    [
      'p95 of the first token in seconds',
      counts.firstTokenP95 === undefined ? undefined : counts.firstTokenP95 / SECOND_MS,
      expectation.first_token_p95_max,
      'max',
    ],
    ['longest in seconds', counts.longestMs / SECOND_MS, expectation.ended_within, 'max'],
    ...Object.entries(expectation.code_min).map(([code, min]): Limit => [
      `refused as ${code}`,
      counts.byCode[code] ?? 0,
      min,
      'min',
    ]),
  ];
}

function missed([name, seen, limit, kind]: Limit): readonly string[] {
  if (limit === undefined) return [];
  if (seen === undefined) return [`${name}: nothing was seen, expected ${kind} ${limit}`];
  const holds = kind === 'min' ? seen >= limit : seen <= limit;
  return holds ? [] : [`${name}: ${Number(seen.toFixed(3))}, expected ${kind} ${limit}`];
}

/**
 * Compares what callers saw with what a scenario expects.
 *
 * @param log - The run.
 * @returns What was missed.
 */
export function checkExpectations(log: RunLog): readonly Violation[] {
  return log.scenario.expect.flatMap((expectation, index) => {
    const counts = countOutcomes(selected(log, expectation));
    const codes = expectation.codes ?? Object.keys(counts.byCode);
    const strange = Object.keys(counts.byCode).filter((code) => !codes.includes(code));
    return [
      ...limitsOf(expectation, counts).flatMap(missed),
      ...strange.map(
        (code) => `refused as ${code} (${counts.byCode[code]}), which is not expected`,
      ),
    ].map((message) => violation(`expect ${index + 1}`, `${expectation.of ?? 'all'}: ${message}`));
  });
}
