import { randomBytes } from 'node:crypto';
import type { Clock } from '@camphorvane/core';
import { RandomSource, sleep } from '@camphorvane/core';
import { applyConfig, parseDeclarations } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/store';
import { callCertificates, complete } from './demoCalls.ts';
import type { DemoTeam } from './demoDeclarations.ts';
import { demoDeclarations } from './demoDeclarations.ts';
import type { DemoAddresses } from './DemoFleet.ts';

const KEY_BYTES = 24;
const READY_LIMIT_MS = 60_000;
const POLL_MS = 250;

/** Hosts that were just started take a few seconds to agree on who coordinates what. */
const SETTLE_MS = 6_000;

/** About as long as a lookup, since hosts take the speed of engines from what these run. */
const READY_PROMPT = 'is everything ready? '.repeat(30);

/**
 * Makes a team with a new key.
 *
 * @param id - Its name.
 * @param tokensPerSecond - Its rate; the burst is five seconds of it.
 * @returns The team.
 */
export function demoTeam(id: string, tokensPerSecond: number): DemoTeam {
  const key = `cvk_${randomBytes(KEY_BYTES).toString('base64url')}`;
  return { id, key, tokensPerSecond, burstTokens: 5 * tokensPerSecond };
}

/**
 * Applies the declarations as an operator does, and waits until every host serves.
 *
 * @param clock - Times the waits.
 * @param at - Where everything listens.
 * @param teams - At least one team.
 * @param signal - Ends the waits.
 * @returns The version of the configuration in force.
 */
export async function setUp(
  clock: Clock,
  at: DemoAddresses,
  teams: readonly [DemoTeam, ...DemoTeam[]],
  signal: AbortSignal,
): Promise<number> {
  const config = parseDeclarations(demoDeclarations(at, teams), 'demo.toml');
  if (config.isErr()) throw new Error(`declarations: ${JSON.stringify(config.error)}`);
  const store = new HttpObjectStore({ baseUrl: at.platform, clock });
  const context = { store, clock, random: new RandomSource(1) };
  const change = { changeId: 'demo', base: { type: 'none' as const } };
  const applied = await applyConfig(context, config.value, change);
  if (applied.isErr()) throw new Error(`apply: ${JSON.stringify(applied.error)}`);
  await waitUntilReady(clock, at, teams[0], signal);
  await sleep(clock, SETTLE_MS, signal);
  return applied.value.version;
}

/** Waits until every host answers lookups of both kinds, so that start-up is not measured. */
async function waitUntilReady(
  clock: Clock,
  at: DemoAddresses,
  { key }: DemoTeam,
  signal: AbortSignal,
): Promise<void> {
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
  while (!ready && clock.now() < until && !signal.aborted) {
    ready = (await Promise.all(at.hosts.map(isReady))).every(Boolean);
    if (!ready) await sleep(clock, POLL_MS, signal);
  }
  if (!ready && !signal.aborted) throw new Error('the hosts did not get ready');
}
