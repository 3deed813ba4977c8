import type { RequestSummary } from './summarizeRequests.ts';

/** Options of a {@link lossTable}. */
export interface LossOptions {
  /** Value of a late answer, as a fraction of one on time. */
  readonly lateValue: number;
  /** Length of a time window, in milliseconds. */
  readonly windowMs: number;
}

/** Rows of a table; the first one is the header. */
type Rows = readonly (readonly string[])[];

/** Number of time windows shown, those with the largest losses. */
const SHOWN_WINDOWS = 8;

/**
 * Formats tables of late and lost requests: by cause, route, team and worst time window.
 *
 * @param requests - The requests.
 * @param opts - Value of a late answer and length of time windows.
 * @returns Lines of text.
 */
export function lossTable(
  requests: readonly RequestSummary[],
  opts: LossOptions,
): readonly string[] {
  const lost = requests.filter(({ end }) => end !== 'on_time');
  const lossSum = totalLoss(lost, opts);
  const startAt = requests[0]?.at ?? 0;
  const windowOf = ({ at }: RequestSummary): string =>
    String(Math.floor((at - startAt) / opts.windowMs) * opts.windowMs);
  const windows = groupBy(requests, windowOf)
    .sort(([, a], [, b]) => totalLoss(b, opts) - totalLoss(a, opts))
    .slice(0, SHOWN_WINDOWS)
    .sort(([a], [b]) => Number(a) - Number(b));
  const causes = groupBy(lost, ({ route, cause }) => `${route}\t${cause ?? ''}`).sort(
    ([, a], [, b]) => totalLoss(b, opts) - totalLoss(a, opts),
  );
  const byRoute = groupBy(requests, ({ route }) => route);
  const byTeam = groupBy(requests, ({ team }) => team);
  return [
    `${requests.length} requests, ${requests.length - lost.length} on time, worth lost ${lossSum.toFixed(1)}`,
    '',
    ...formatTable([
      ['route', 'cause', 'late', 'refused', 'unfinished', 'lost'],
      ...causes.map(([key, group]) => [
        ...key.split('\t'),
        ...outcomeCounts(group),
        formatLoss(group, opts),
      ]),
    ]),
    '',
    ...formatTable(outcomeRows('route', byRoute, opts)),
    '',
    ...formatTable(outcomeRows('team', byTeam, opts)),
    '',
    ...formatTable(outcomeRows('worst moments from ms', windows, opts)),
  ];
}

function outcomeRows(
  name: string,
  groups: readonly (readonly [string, readonly RequestSummary[]])[],
  opts: LossOptions,
): Rows {
  const rows = groups.map(([key, group]) => {
    const onTime = String(group.filter(({ end }) => end === 'on_time').length);
    return [key, String(group.length), onTime, ...outcomeCounts(group), formatLoss(group, opts)];
  });
  return [[name, 'asked', 'on time', 'late', 'refused', 'unfinished', 'lost'], ...rows];
}

function outcomeCounts(group: readonly RequestSummary[]): readonly string[] {
  return (['late', 'refused', 'unfinished'] as const).map((outcome) =>
    String(group.filter(({ end }) => end === outcome).length),
  );
}

function formatLoss(group: readonly RequestSummary[], opts: LossOptions): string {
  return totalLoss(group, opts).toFixed(1);
}

function totalLoss(group: readonly RequestSummary[], { lateValue }: LossOptions): number {
  return group.reduce((sum, { end }) => sum + lossOfOutcome(end, lateValue), 0);
}

function lossOfOutcome(end: RequestSummary['end'], lateWorth: number): number {
  switch (end) {
    case 'on_time':
      return 0;
    case 'late':
      return 1 - lateWorth;
    case 'refused':
    case 'unfinished':
      return 1;
    default:
      return end satisfies never;
  }
}

function groupBy(
  requests: readonly RequestSummary[],
  keyOf: (request: RequestSummary) => string,
): (readonly [string, readonly RequestSummary[]])[] {
  const groups = new Map<string, RequestSummary[]>();
  requests.forEach((request) => {
    const key = keyOf(request);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [request]);
    else group.push(request);
  });
  return [...groups];
}

/** Pads columns to their widest cell; aligns text left and numbers right. */
function formatTable(rows: Rows): readonly string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return /^[\d.]+$/.test(rows[1]?.[column] ?? '') ? cell.padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd(),
  );
}
