import { sha256Hex } from '@camphorvane/core';
import { ConfigBuilder } from '@camphorvane/operator';
import type { DemoAddresses } from './DemoFleet.ts';

/** A team of the demo with the key that its callers show. */
export interface DemoTeam {
  readonly id: string;
  readonly key: string;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

const MEMORY_PIECES = 40;

/**
 * Gets the declarations of the demo, printed by the builder library.
 *
 * @param at - Where the stand-ins listen.
 * @param teams - The teams.
 * @returns TOML, as an operator keeps it under version control.
 */
export function demoDeclarations(at: DemoAddresses, teams: readonly DemoTeam[]): string {
  const fleet = new ConfigBuilder();
  teams.forEach(({ key, ...team }) => fleet.addTeam(team).addKeyDigest(sha256Hex(key)));
  const pool = fleet.addPool({
    model: 'reports',
    maxTokens: 8192,
    ttftTargetMs: 730,
    itlTargetMs: 35,
    linkPiecesPerSecond: 60,
  });
  const engine = (role: string, url: string, index: number) => ({
    id: `${role}${index + 1}`,
    url,
    zone: `zone-${index + 1}`,
    memoryPieces: MEMORY_PIECES,
    checksFencing: true,
  });
  at.prefill.forEach((url, index) => pool.addPrefillEngine(engine('p', url, index)));
  at.decode.forEach((url, index) => pool.addDecodeEngine(engine('d', url, index)));
  fleet
    .addService({ id: 'certificates', timeoutMs: 5000 })
    .addServer({ id: 'certificates-1', url: at.certificates, zone: 'zone-1', maxConcurrent: 8 })
    .addRepeatableRoute({ method: 'GET', path: '/lookup', class: 'lookup', costTokens: 10 })
    .addOnceOnlyRoute({ method: 'POST', path: '/issue', class: 'certificate', costTokens: 10 });
  fleet.addWaitRule({ class: 'summary', maxWaitMs: 60_000 });
  return fleet.toToml();
}
