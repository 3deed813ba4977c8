import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readScenario, reportLines, ROUTER_SUBJECT, runScenario } from '../../src/index.ts';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const SCENARIOS = path.join(ROOT, 'scenarios');

/** Gets why a scenario is known to fail, from KNOWN-RED.txt: `scenario NAME: cause (issue N)`. */
function knownCause(name: string): string | undefined {
  const lines = readFileSync(path.join(ROOT, 'KNOWN-RED.txt'), 'utf8').split('\n');
  const found = lines.find((line) => line.startsWith(`scenario ${name}:`));
  return found?.slice(found.indexOf(':') + 1).trim();
}

/**
 * Declares a test for each of some shipped scenarios; a part of them in each test file, so that
 * the files run side by side. One that is known to be red runs and is shown, and does not fail.
 *
 * @param part - Which part, from 0.
 * @param parts - How many parts there are.
 */
export function testShipped(part: number, parts: number): void {
  const files = readdirSync(SCENARIOS).filter((file) => file.endsWith('.toml'));
  files
    .sort()
    .filter((_, index) => index % parts === part)
    .forEach((file) => {
      const name = path.basename(file, '.toml');
      test(`scenario ${name}`, { todo: knownCause(name) }, async () => {
        const scenario = readScenario(path.join(SCENARIOS, file));
        assert.ok(scenario.isOk(), scenario.isErr() ? JSON.stringify(scenario.error) : '');
        const seeds = Array.from({ length: scenario.value.seeds }, (_, index) => index + 1);
        const results = await seeds.reduce<Promise<readonly string[]>>(async (before, seed) => {
          const result = await runScenario(scenario.value, seed, { subject: ROUTER_SUBJECT });
          const lines = result.violations.length > 0 ? reportLines(result) : [];
          return [...(await before), ...lines];
        }, Promise.resolve([]));
        assert.deepEqual(results, []);
      });
    });
}
