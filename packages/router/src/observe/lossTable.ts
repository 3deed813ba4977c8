import type { RequestStory } from './requestStories.ts';

/** How losses are counted. */
export interface LossOptions {
  /** What a late answer is worth, as a part of one on time. */
  readonly lateWorth: number;
  /** Length of the windows that are shown, in milliseconds. */
  readonly windowMs: number;
}

/** Rows of one table, the first one its head. */
type Rows = readonly (readonly string[])[];

/** Windows that are shown: those that lost most. */
const SHOWN_WINDOWS = 8;

/**
 * Shows where requests were lost or late: by cause, by route and by the worst moments.
 *
 * @param stories - The requests.
 * @param opts - How losses are counted.
 * @returns Lines of text.
 */
export function lossTable(stories: readonly RequestStory[], opts: LossOptions): readonly string[] {
  const lost = stories.filter(({ end }) => end !== 'on_time');
  const total = sumOf(lost, opts);
  const startAt = stories[0]?.at ?? 0;
  const windowOf = ({ at }: RequestStory): string =>
    String(Math.floor((at - startAt) / opts.windowMs) * opts.windowMs);
  const windows = groupBy(stories, windowOf)
    .sort(([, a], [, b]) => sumOf(b, opts) - sumOf(a, opts))
    .slice(0, SHOWN_WINDOWS)
    .sort(([a], [b]) => Number(a) - Number(b));
  const causes = groupBy(lost, ({ route, cause }) => `${route}\t${cause ?? ''}`).sort(
    ([, a], [, b]) => sumOf(b, opts) - sumOf(a, opts),
  );
  const byRoute = groupBy(stories, ({ route }) => route);
  const byTeam = groupBy(stories, ({ team }) => team);
  return [
    `${stories.length} requests, ${stories.length - lost.length} on time, worth lost ${total.toFixed(1)}`,
    '',
    ...format([
      ['route', 'cause', 'late', 'refused', 'unfinished', 'lost'],
      ...causes.map(([key, group]) => [...key.split('\t'), ...counts(group), lostOf(group, opts)]),
    ]),
    '',
    ...format(endRows('route', byRoute, opts)),
    '',
    ...format(endRows('team', byTeam, opts)),
    '',
    ...format(endRows('worst moments from ms', windows, opts)),
  ];
}

function endRows(
  name: string,
  groups: readonly (readonly [string, readonly RequestStory[]])[],
  opts: LossOptions,
): Rows {
  const rows = groups.map(([key, group]) => {
    const onTime = String(group.filter(({ end }) => end === 'on_time').length);
    return [key, String(group.length), onTime, ...counts(group), lostOf(group, opts)];
  });
  return [[name, 'asked', 'on time', 'late', 'refused', 'unfinished', 'lost'], ...rows];
}

function counts(group: readonly RequestStory[]): readonly string[] {
  return (['late', 'refused', 'unfinished'] as const).map((wanted) =>
    String(group.filter(({ end }) => end === wanted).length),
  );
}

function lostOf(group: readonly RequestStory[], opts: LossOptions): string {
  return sumOf(group, opts).toFixed(1);
}

function sumOf(group: readonly RequestStory[], { lateWorth }: LossOptions): number {
  return group.reduce((sum, { end }) => sum + lossOf(end, lateWorth), 0);
}

function lossOf(end: RequestStory['end'], lateWorth: number): number {
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
  stories: readonly RequestStory[],
  keyOf: (story: RequestStory) => string,
): (readonly [string, readonly RequestStory[]])[] {
  const groups = new Map<string, RequestStory[]>();
  stories.forEach((story) => {
    const key = keyOf(story);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [story]);
    else group.push(story);
  });
  return [...groups];
}

/** Sets columns to the width of their widest cell; names to the left, numbers to the right. */
function format(rows: Rows): readonly string[] {
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
