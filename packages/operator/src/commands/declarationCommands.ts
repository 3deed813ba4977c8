import type { RoutingConfig } from '@camphorvane/core';
import type { ObjectStore, ObjectVersion } from '@camphorvane/store';
import { sha256Hex } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';
import type { ApplyContext } from '../apply/ApplyContext.ts';
import { describeApplyError, type ApplyError } from '../apply/ApplyError.ts';
import { applyConfig, type Applied, type ApplyBase } from '../apply/ConfigApply.ts';
import { EMPTY_CONFIG, diffConfigs, type ConfigChange } from '../apply/ConfigItem.ts';
import { readAccepted, type ReadError } from '../apply/readAccepted.ts';
import {
  describeDeclarationError,
  type DeclarationError,
} from '../declarations/DeclarationError.ts';
import { parseDeclarations } from '../declarations/parseDeclarations.ts';
import { EXIT, type CommandResult, type ExitCode } from './CommandResult.ts';

/** A file that an operator named on the command line. */
export interface NamedText {
  readonly file: string;
  readonly text: string;
}

/** What `apply` was asked to do. */
export interface ApplyRequest {
  readonly declarations: NamedText;
  /** Version that the change starts from. */
  readonly baseVersion?: ObjectVersion;
  /** The declarations before the change, instead of a version. */
  readonly baseDeclarations?: NamedText;
  readonly merge?: boolean;
  /** Given again after an outcome that stayed open. */
  readonly changeId?: string;
  /** A text that was never used before, for a change that has no version to be named after. */
  readonly freshId: string;
}

/**
 * Checks declarations without the platform.
 *
 * @param declarations - The file.
 * @returns Exit code 0, or 2 with every fault.
 */
export function checkCommand(declarations: NamedText): CommandResult {
  return parse(declarations).match((config) => {
    const { teams, pools, services } = config;
    const counts = { teams: teams.length, pools: pools.length, services: services.length };
    const text = `${declarations.file}: ${counts.teams} teams, ${counts.pools} pools and ${counts.services} services, no faults`;
    return { exitCode: EXIT.ok, text, json: { ok: true, ...counts } };
  }, same);
}

/**
 * Compares declarations with the configuration in force.
 *
 * @param store - The platform.
 * @param declarations - The file.
 * @returns Exit code 0 where both say the same, 1 where they differ, 2 or 3 on a failure.
 */
export async function diffCommand(
  store: ObjectStore,
  declarations: NamedText,
): Promise<CommandResult> {
  const parsed = parse(declarations);
  if (parsed.isErr()) return parsed.error;
  const accepted = await readAccepted(store);
  if (accepted.isErr()) return readFailure(accepted.error);
  const version = accepted.value?.version ?? 0;
  const changes = diffConfigs(accepted.value?.config ?? EMPTY_CONFIG, parsed.value);
  const lines = [`version ${version} is in force`, ...changes.flatMap(describeChange)];
  return {
    exitCode: changes.length === 0 ? EXIT.ok : EXIT.refused,
    text: changes.length === 0 ? `${lines[0]}; no differences` : lines.join('\n'),
    json: { version, changes },
  };
}

/**
 * Applies declarations.
 *
 * @param context - The platform, the time, and the spread of retries.
 * @param req - What to apply, and what it starts from.
 * @returns Exit code 0 where it is in force, 1 where it was refused, 2 where it is invalid, 3 where
 * the platform did not answer or the outcome is open.
 */
export async function applyCommand(
  context: ApplyContext,
  req: ApplyRequest,
): Promise<CommandResult> {
  const config = parse(req.declarations);
  if (config.isErr()) return config.error;
  const base = baseOf(req);
  if (base.isErr()) return base.error;
  const changeId = req.changeId ?? derivedChangeId(req);
  const options = { changeId, base: base.value, merge: req.merge };
  const outcome = await applyConfig(context, config.value, options);
  return applyResult(outcome, changeId);
}

/**
 * Gets what a command prints of an apply.
 *
 * @param outcome - What became of it.
 * @param changeId - Name of the change.
 * @returns The text and the exit code of {@link applyCommand}.
 */
export function applyResult(outcome: Result<Applied, ApplyError>, changeId: string): CommandResult {
  return outcome.match(
    (applied) => appliedResult(applied, changeId),
    (error) => ({
      exitCode: exitCodeOf(error),
      text: describeApplyError(error),
      json: { ok: false, changeId, error },
    }),
  );
}

/**
 * With a version as base the id follows from the input: running the same command again finds its own
 * change. Without one, the same file may rightly be applied again later, so the id is a new one.
 */
function derivedChangeId(req: ApplyRequest): string {
  if (req.baseVersion === undefined) return req.freshId;
  const merge = req.merge === true ? 'merge' : 'plain';
  return sha256Hex(`${req.baseVersion}\n${merge}\n${req.declarations.text}`).slice(0, 32);
}

function baseOf(req: ApplyRequest): Result<ApplyBase, CommandResult> {
  if (req.baseVersion !== undefined) return ok({ type: 'version', version: req.baseVersion });
  if (req.baseDeclarations === undefined) return ok({ type: 'none' });
  return parse(req.baseDeclarations).map((config) => ({ type: 'config', config }));
}

function parse({ text, file }: NamedText): Result<RoutingConfig, CommandResult> {
  return parseDeclarations(text, file).orElse((errors) => err(invalid(errors)));
}

function invalid(errors: readonly DeclarationError[]): CommandResult {
  const text = errors.map(describeDeclarationError).join('\n');
  return { exitCode: EXIT.invalid, text, json: { ok: false, errors } };
}

function same(result: CommandResult): CommandResult {
  return result;
}

/** Gets what a command prints where the configuration in force could not be read. */
export function readFailure(error: ReadError): CommandResult {
  return { exitCode: EXIT.unavailable, text: error.message, json: { ok: false, error } };
}

function appliedResult(applied: Applied, changeId: string): CommandResult {
  const newer =
    applied.inForce > applied.version ? `; version ${applied.inForce} is in force since` : '';
  const head = {
    applied: `version ${applied.version} is in force`,
    already_applied: `this change was accepted before, as version ${applied.version}${newer}`,
    unchanged: `nothing to change; version ${applied.version} is in force`,
  }[applied.outcome];
  const text = [head, ...applied.changes.flatMap(describeChange)].join('\n');
  return { exitCode: EXIT.ok, text, json: { ok: true, changeId, ...applied } };
}

function exitCodeOf(error: ApplyError): ExitCode {
  switch (error.type) {
    case 'conflict':
    case 'base_unknown':
    case 'change_id_reused':
    case 'refused':
      return EXIT.refused;
    case 'invalid':
    case 'part_too_large':
      return EXIT.invalid;
    case 'unavailable':
    case 'unreadable':
    case 'outcome_unknown':
      return EXIT.unavailable;
    default:
      return error satisfies never;
  }
}

const SIGNS = { added: '+', removed: '-', changed: '~' } as const;

function describeChange(change: ConfigChange): readonly string[] {
  const fields = change.fields.map(
    ({ field, before, after }) => `    ${field}: ${before ?? '(none)'} -> ${after ?? '(none)'}`,
  );
  return [`  ${SIGNS[change.kind]} ${change.item}`, ...fields];
}
