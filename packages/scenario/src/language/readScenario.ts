import { readFileSync, statSync } from 'node:fs';
import path from 'node:path';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseScenario } from './parseScenario.ts';
import type { ScenarioError } from './parseScenario.ts';
import type { Scenario } from './scenarioSchema.ts';

/**
 * Reads a scenario file and the file that it is based on.
 *
 * @param file - Its path.
 * @returns The scenario, or everything that is wrong with it.
 */
export function readScenario(file: string): Result<Scenario, readonly ScenarioError[]> {
  const read = (name: string): string => readFileSync(name, 'utf8');
  try {
    if (statSync(file).isDirectory()) return err([isFolder(file)]);
    return parseScenario(read(file), file, (base) => read(path.join(path.dirname(file), base)));
  } catch (error) {
    const message = error instanceof Error ? error.message : 'cannot be read';
    return err([{ place: file, key: '', message }]);
  }
}

function isFolder(file: string): ScenarioError {
  const message = `is a folder; name scenario files, such as ${path.join(file, '*.toml')}`;
  return { place: file, key: '', message };
}
