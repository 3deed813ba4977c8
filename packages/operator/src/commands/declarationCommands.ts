import type { RoutingConfig } from '@camphorvane/core';
import type { ObjectStore, ObjectVersion } from '@camphorvane/store';
import { sha256Hex } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';
import type { ApplyContext } from '../apply/ApplyContext.ts';
import { describeApplyError, type ApplyError } from '../apply/ApplyError.ts';
import { applyConfig, type ApplySuccess, type ApplyBase } from '../apply/applyConfig.ts';
import { EMPTY_CONFIG, diffConfigs, type ConfigChange } from '../apply/configDiff.ts';
import { readAcceptedConfig, type ReadError } from '../apply/readAcceptedConfig.ts';
import {
  describeDeclarationError,
  type DeclarationError,
} from '../declarations/DeclarationError.ts';
import { parseDeclarations } from '../declarations/parseDeclarations.ts';
import { EXIT, type CommandResult, type ExitCode } from './CommandResult.ts';

/** A declarations file given on the command line. */
export interface DeclarationsFile {
  readonly file: string;
  readonly text: string;
}

/** Arguments of `apply`. */
export interface ApplyRequest {
  readonly declarations: DeclarationsFile;
  /** Version that the change is based on. */
  readonly baseVersion?: ObjectVersion;
  /** The declarations before the change, as an alternative to `baseVersion`. */
  readonly baseDeclarations?: DeclarationsFile;
  /** Whether to merge with changes made since the base. */
  readonly merge?: boolean;
  /** Change id of an earlier run whose outcome is unknown. */
  readonly changeId?: string;
  /** A unique id, used as the change id if neither `changeId` nor `baseVersion` is given. */
  readonly freshId: string;
}

/**
 * Validates declarations without access to the platform.
 *
 * @param declarations - The file.
 * @returns Exit code 0 if they are valid, or 2 with their errors.
 */
export function checkCommand(declarations: DeclarationsFile): CommandResult {
  return parseFile(declarations).match((config) => {
    const { teams, pools, services } = config;
    const counts = { teams: teams.length, pools: pools.length, services: services.length };
    const text = `${declarations.file}: ${counts.teams} teams, ${counts.pools} pools and ${counts.services} services, no errors`;
    return { exitCode: EXIT.ok, text, json: { ok: true, ...counts } };
  }, identity);
}

/**
 * Compares declarations with the configuration in force.
 *
 * @param store - The platform's object store.
 * @param declarations - The file.
 * @returns Exit code 0 if there are no differences, 1 if there are, 2 if the declarations are invalid, 3
 * if the configuration in force could not be read.
 */
export async function diffCommand(
  store: ObjectStore,
  declarations: DeclarationsFile,
): Promise<CommandResult> {
  const parsed = parseFile(declarations);
  if (parsed.isErr()) return parsed.error;
  const accepted = await readAcceptedConfig(store);
  if (accepted.isErr()) return readErrorResult(accepted.error);
  const version = accepted.value?.version ?? 0;
  const changes = diffConfigs(accepted.value?.config ?? EMPTY_CONFIG, parsed.value);
  const lines = [`version ${version} is in force`, ...changes.flatMap(formatChange)];
  return {
    exitCode: changes.length === 0 ? EXIT.ok : EXIT.refused,
    text: changes.length === 0 ? `${lines[0]}; no differences` : lines.join('\n'),
    json: { version, changes },
  };
}

/**
 * Applies declarations.
 *
 * @param context - The object store, the clock and the source of retry jitter.
 * @param req - The declarations, their base and the change id.
 * @returns Exit code 0 if they were accepted, 1 if refused, 2 if invalid, 3 if the platform is
 * unavailable or the outcome unknown.
 */
export async function applyCommand(
  context: ApplyContext,
  req: ApplyRequest,
): Promise<CommandResult> {
  const config = parseFile(req.declarations);
  if (config.isErr()) return config.error;
  const base = resolveBase(req);
  if (base.isErr()) return base.error;
  const changeId = req.changeId ?? deriveChangeId(req);
  const options = { changeId, base: base.value, merge: req.merge };
  const outcome = await applyConfig(context, config.value, options);
  return applyCommandResult(outcome, changeId);
}

/**
 * Converts the outcome of an apply to a command result.
 *
 * @param outcome - The outcome.
 * @param changeId - The change id.
 * @returns The output and an exit code as of {@link applyCommand}.
 */
export function applyCommandResult(
  outcome: Result<ApplySuccess, ApplyError>,
  changeId: string,
): CommandResult {
  return outcome.match(
    (applied) => successResult(applied, changeId),
    (error) => ({
      exitCode: exitCodeOf(error),
      text: describeApplyError(error),
      json: { ok: false, changeId, error },
    }),
  );
}

/**
 * With a base version the id is a digest of the input, so that running the same command again finds its
 * earlier change. Without one, the id is unique, since the same file may be applied again later.
 */
function deriveChangeId(req: ApplyRequest): string {
  if (req.baseVersion === undefined) return req.freshId;
  const merge = req.merge === true ? 'merge' : 'plain';
  return sha256Hex(`${req.baseVersion}\n${merge}\n${req.declarations.text}`).slice(0, 32);
}

function resolveBase(req: ApplyRequest): Result<ApplyBase, CommandResult> {
  if (req.baseVersion !== undefined) return ok({ type: 'version', version: req.baseVersion });
  if (req.baseDeclarations === undefined) return ok({ type: 'none' });
  return parseFile(req.baseDeclarations).map((config) => ({ type: 'config', config }));
}

function parseFile({ text, file }: DeclarationsFile): Result<RoutingConfig, CommandResult> {
  return parseDeclarations(text, file).orElse((errors) => err(invalidResult(errors)));
}

function invalidResult(errors: readonly DeclarationError[]): CommandResult {
  const text = errors.map(describeDeclarationError).join('\n');
  return { exitCode: EXIT.invalid, text, json: { ok: false, errors } };
}

function identity(result: CommandResult): CommandResult {
  return result;
}

/** Gets the command result for a configuration in force that could not be read. */
export function readErrorResult(error: ReadError): CommandResult {
  return { exitCode: EXIT.unavailable, text: error.message, json: { ok: false, error } };
}

function successResult(applied: ApplySuccess, changeId: string): CommandResult {
  const supersededNote =
    applied.inForce > applied.version ? `; version ${applied.inForce} is in force since` : '';
  const summary = {
    applied: `version ${applied.version} is in force`,
    already_applied: `this change was accepted before, as version ${applied.version}${supersededNote}`,
    unchanged: `nothing to change; version ${applied.version} is in force`,
  }[applied.outcome];
  const text = [summary, ...applied.changes.flatMap(formatChange)].join('\n');
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

const CHANGE_SIGNS = { added: '+', removed: '-', changed: '~' } as const;

function formatChange(change: ConfigChange): readonly string[] {
  const fields = change.fields.map(
    ({ field, before, after }) => `    ${field}: ${before ?? '(none)'} -> ${after ?? '(none)'}`,
  );
  return [`  ${CHANGE_SIGNS[change.kind]} ${change.item}`, ...fields];
}
