import { readFileSync } from 'node:fs';
import path from 'node:path';
import { type Result, err, ok } from 'neverthrow';
import { parse } from 'smol-toml';
import * as z from 'zod';
import { type Workload, workloadSchema } from './Workload.ts';

/** Why a workload file can't be used. */
export interface WorkloadError {
  readonly file: string;
  readonly message: string;
}

/** Files that extend one another further than this form a circle. */
const MAX_EXTENDS = 8;

type Table = Readonly<Record<string, unknown>>;

/**
 * Reads a workload file; a file that names another in `extends` replaces keys of that one.
 *
 * @param file - Path of the TOML file.
 * @returns The checked workload, or a message with the key that is wrong.
 */
export function loadWorkload(file: string): Result<Workload, WorkloadError> {
  return readTable(file, MAX_EXTENDS).andThen((table) => {
    const checked = workloadSchema.safeParse(table);
    if (!checked.success) return err({ file, message: z.prettifyError(checked.error) });
    return checkNames(file, checked.data);
  });
}

function readTable(file: string, depth: number): Result<Table, WorkloadError> {
  if (depth === 0) return err({ file, message: 'extends: too many files extend one another' });
  return readText(file)
    .andThen((text) => parseText(file, text))
    .andThen(({ extends: base, ...own }) => {
      if (base === undefined) return ok(own);
      if (typeof base !== 'string') return err({ file, message: 'extends: expected a file name' });
      return readTable(path.resolve(path.dirname(file), base), depth - 1).map((table) => ({
        ...table,
        ...own,
      }));
    });
}

function readText(file: string): Result<string, WorkloadError> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return err({ file, message: String(error) });
  }
}

function parseText(file: string, text: string): Result<Table, WorkloadError> {
  try {
    return ok(parse(text));
  } catch (error) {
    return err({ file, message: String(error) });
  }
}

function checkNames(file: string, workload: Workload): Result<Workload, WorkloadError> {
  const teams = new Set(workload.teams.map((team) => team.id));
  const unknown = [
    ...workload.flows.map((flow) => flow.team),
    ...Object.keys(workload.teamLoad),
  ].find((team) => !teams.has(team));
  if (unknown !== undefined) return err({ file, message: `no team is named "${unknown}"` });
  const roles = new Set(workload.engines.map((engine) => engine.role));
  if (roles.size < 2) return err({ file, message: 'engines: both roles are needed' });
  return ok(workload);
}
