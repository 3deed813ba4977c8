import { randomBytes } from 'node:crypto';
import type { Clock } from '@camphorvane/core';
import { RandomSource, sleep } from '@camphorvane/core';
import { applyConfig, parseDeclarations } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/store';
import { callCertificates, sendCompletion } from './demoCalls.ts';
import type { DemoTeam } from './demoDeclarations.ts';
import { demoDeclarations } from './demoDeclarations.ts';
import type { DemoAddresses } from './DemoFleet.ts';

const KEY_BYTES = 24;
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 250;

/** Wait for newly started hosts, which need a few seconds to agree on their coordinators. */
const SETTLE_MS = 6_000;

/** About as long as a lookup prompt, because hosts estimate engine speeds from observed work. */
const READY_PROMPT = 'is everything ready? '.repeat(30);

/**
 * Creates a team with a new random API key.
 *
 * @param id - ID of the team.
 * @param tokensPerSecond - Its rate; the burst is 5 seconds of the rate.
 * @returns The team.
 */
export function demoTeam(id: string, tokensPerSecond: number): DemoTeam {
  const key = `cvk_${randomBytes(KEY_BYTES).toString('base64url')}`;
  return { id, key, tokensPerSecond, burstTokens: 5 * tokensPerSecond };
}

/**
 * Applies the declarations as an operator does, and waits until every host serves requests.
 *
 * @param clock - Clock for the waits.
 * @param at - Addresses of all processes.
 * @param teams - At least one team.
 * @param signal - Ends the waits early.
 * @returns Version of the configuration in force.
 */
export async function setUpFleet(
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

/** Waits until every host answers a call and a completion, so that start-up is not measured. */
async function waitUntilReady(
  clock: Clock,
  at: DemoAddresses,
  { key }: DemoTeam,
  signal: AbortSignal,
): Promise<void> {
  const deadline = clock.now() + READY_TIMEOUT_MS;
  const isReady = async (host: string): Promise<boolean> => {
    const target = { host, key };
    const completion = {
      kind: 'ready',
      prompt: READY_PROMPT,
      maxTokens: 2,
      class: 'lookup' as const,
    };
    const answers = await Promise.all([
      callCertificates(clock, target, 'ready', 'lookup'),
      sendCompletion(clock, target, completion),
    ]);
    return answers.every((answer) => answer.outcome.type === 'whole');
  };
  let ready = false;
  while (!ready && clock.now() < deadline && !signal.aborted) {
    ready = (await Promise.all(at.hosts.map(isReady))).every(Boolean);
    if (!ready) await sleep(clock, POLL_INTERVAL_MS, signal);
  }
  if (!ready && !signal.aborted) throw new Error('timed out waiting for the hosts to become ready');
}
