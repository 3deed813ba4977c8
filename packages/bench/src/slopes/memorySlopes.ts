import { SystemClock, type TeamConfig } from '@camphorvane/core';
import { DEFAULT_SHARE_SETTINGS, ShareHolder, ShareCoordinator } from '@camphorvane/group';
import { chunkConfig, parsePart } from '@camphorvane/store';
import { teamsOf } from './groupSlopes.ts';
import { type Slope, slopeOf } from './Slope.ts';

/** Teams at which configuration and accounts are measured. */
const TEAMS = [1000, 5000, 10_000, 20_000];

/** Members that hold a share of each measured account. */
const HOLDERS = 9;

function configOf(teams: readonly TeamConfig[]): Parameters<typeof chunkConfig>[0] {
  const keyed = teams.map((team, i) => ({
    ...team,
    keyDigests: [i, i + 1].map((n) => n.toString(16).padStart(64, '0')),
  }));
  return { teams: keyed, pools: [], services: [], waitRules: [] };
}

/** Gets the heap in use after a collection, in bytes; `--expose-gc` makes it exact. */
function heapUsed(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

function configPoint(teams: number): { readonly bytes: number; readonly ms: number } {
  const clock = new SystemClock();
  const { chunks } = chunkConfig(configOf(teamsOf(teams)));
  const start = clock.now();
  chunks.forEach((chunk) => parsePart(chunk.digest, chunk.text));
  const bytes = chunks.reduce((sum, chunk) => sum + chunk.bytes, 0);
  return { bytes, ms: clock.now() - start };
}

function configHeap(teams: number): number {
  const texts = chunkConfig(configOf(teamsOf(teams))).chunks;
  const before = heapUsed();
  const kept = texts.map((chunk) => parsePart(chunk.digest, chunk.text));
  const after = heapUsed();
  return kept.length > 0 ? after - before : 0;
}

/** Gets the heap of holder and steward state of so many teams, all of them granted. */
function shareHeap(teams: number): number {
  const configs = teamsOf(teams);
  const before = heapUsed();
  const rates = new Map(configs.map((team) => [team.id, team.rate]));
  const holders = Array.from({ length: HOLDERS }, () => new ShareHolder(DEFAULT_SHARE_SETTINGS));
  const steward = new ShareCoordinator(DEFAULT_SHARE_SETTINGS);
  steward.setRates(rates, 0);
  const keys = holders.map((_, i) => `h${i}/1`);
  const context = {
    ...{
      epoch: 1,
      members: keys,
      possibleHolders: keys,
      isHistoryComplete: true,
      isFirstEpoch: true,
    },
    ...{ mayCoordinate: () => true, isCoordinatorThroughout: () => true },
  };
  rates.forEach((_, team) => steward.ensureTeam(team, context, 0));
  const [first] = holders;
  const rounds = Math.ceil(teams / DEFAULT_SHARE_SETTINGS.maxTeamsPerMessage) + 2;
  first?.setRates(rates, 0);
  Array.from({ length: rounds }).forEach((_, i) => {
    const sync = first?.createSync('h0/1', 1, () => 'h0/1', i);
    const answer = sync && steward.handleSync('h0/1', sync, context, i);
    if (answer !== undefined) first?.applyReply('h0/1', answer.reply, () => 'h0/1', i);
  });
  const used = heapUsed() - before;
  return steward.accounts.size > 0 && first !== undefined ? used : 0;
}

/** Measures what configuration and accounts of shares take in memory, bytes and time. */
export function memorySlopes(): readonly Slope[] {
  const configs = TEAMS.map((x) => ({ x, ...configPoint(x) }));
  return [
    slopeOf(
      'configuration: size',
      'teams',
      'bytes',
      configs.map(({ x, bytes }) => ({ x, y: bytes })),
    ),
    slopeOf(
      'configuration: reading all of it',
      'teams',
      'ms of processor',
      configs.map(({ x, ms }) => ({ x, y: ms })),
    ),
    slopeOf(
      'configuration: heap',
      'teams',
      'bytes',
      TEAMS.map((x) => ({ x, y: configHeap(x) })),
    ),
    slopeOf(
      'shares: heap of a holder and a steward of all',
      'teams',
      'bytes',
      TEAMS.map((x) => ({ x, y: shareHeap(x) })),
    ),
  ];
}
