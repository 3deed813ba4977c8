import { sha256Hex } from '@camphorvane/core';
import { ConfigBuilder } from '@camphorvane/operator';
import type { DemoAddresses } from './DemoFleet.ts';

/** A team of the demo with the API key of its callers. */
export interface DemoTeam {
  readonly id: string;
  readonly key: string;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

const MEMORY_PIECES = 40;

/**
 * Builds the declarations of the demo with the builder library.
 *
 * @param at - Addresses of the stand-ins.
 * @param teams - The teams.
 * @returns Declarations as TOML, in the form that an operator keeps under version control.
 */
export function demoDeclarations(at: DemoAddresses, teams: readonly DemoTeam[]): string {
  const builder = new ConfigBuilder();
  teams.forEach(({ key, ...team }) => builder.addTeam(team).addKeyDigest(sha256Hex(key)));
  const pool = builder.addPool({
    model: 'reports',
    maxTokens: 8192,
    ttftTargetMs: 730,
    itlTargetMs: 35,
    linkPiecesPerSecond: 60,
  });
  const engineOptions = (role: string, url: string, index: number) => ({
    id: `${role}${index + 1}`,
    url,
    zone: `zone-${index + 1}`,
    memoryPieces: MEMORY_PIECES,
    checksFencing: true,
  });
  at.prefill.forEach((url, index) => pool.addPrefillEngine(engineOptions('p', url, index)));
  at.decode.forEach((url, index) => pool.addDecodeEngine(engineOptions('d', url, index)));
  builder
    .addService({ id: 'certificates', timeoutMs: 5000 })
    .addServer({ id: 'certificates-1', url: at.certificates, zone: 'zone-1', maxConcurrent: 8 })
    .addRepeatableRoute({ method: 'GET', path: '/lookup', class: 'lookup', costTokens: 10 })
    .addOnceOnlyRoute({ method: 'POST', path: '/issue', class: 'certificate', costTokens: 10 });
  builder.addWaitRule({ class: 'summary', maxWaitMs: 60_000 });
  return builder.toToml();
}
