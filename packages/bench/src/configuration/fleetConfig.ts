import { sha256Hex, type RoutingConfig } from '@camphorvane/core';

/**
 * Makes a configuration of many teams with a key each, as an operator of many houses has it.
 *
 * @param teams - How many teams.
 * @param changed - Number of the team whose weight differs, to make a change of one team.
 * @returns The configuration; it has one pool and no plain services.
 */
export function fleetConfig(teams: number, changed?: number): RoutingConfig {
  const engine = { zone: 'a', memoryPieces: 320, checksFencing: true };
  return {
    teams: Array.from({ length: teams }, (_, i) => ({
      id: `team-${String(i).padStart(5, '0')}`,
      rate: { tokensPerSecond: 1000, burstTokens: 5000 },
      keyDigests: [sha256Hex(`key of team ${i}`)],
      models: ['lab-8b'],
      weight: i === changed ? 2 : 1,
    })),
    pools: [
      {
        model: 'lab-8b',
        engines: [
          { id: 'p1', url: 'http://127.0.0.1:9101', role: 'prefill', ...engine },
          { id: 'd1', url: 'http://127.0.0.1:9102', role: 'decode', ...engine },
        ],
        maxTokens: 16_384,
        ttftTargetMs: 730,
        itlTargetMs: 35,
        linkPiecesPerSecond: 400,
      },
    ],
    services: [],
    waitRules: [],
  };
}
