import type { ZoneId } from '@camphorvane/core';
import type { ApplyContext } from '../apply/ApplyContext.ts';
import { applyConfig } from '../apply/applyConfig.ts';
import { readAcceptedConfig } from '../apply/readAcceptedConfig.ts';
import { EXIT, type CommandResult } from './CommandResult.ts';
import { applyCommandResult, readErrorResult } from './declarationCommands.ts';

/** Arguments of `drain-zone` and `restore-zone`. */
export interface ZoneRequest {
  readonly zone: ZoneId;
  /** `drain` stops dispatches to the zone's upstreams, `restore` resumes them. */
  readonly action: 'drain' | 'restore';
  /** A unique id, used as the change id. */
  readonly freshId: string;
}

/**
 * Drains or restores an availability zone without a declarations file.
 *
 * Only the drained zones of the configuration in force change. Concurrent changes by other operators are
 * merged; the next apply of a file that does not list the zone as drained conflicts with the drain.
 *
 * @param context - The object store, the clock and the source of retry jitter.
 * @param req - The zone and the action.
 * @returns The output and an exit code as of `apply`.
 */
export async function zoneCommand(context: ApplyContext, req: ZoneRequest): Promise<CommandResult> {
  const accepted = await readAcceptedConfig(context.store);
  if (accepted.isErr()) return readErrorResult(accepted.error);
  if (accepted.value === undefined) return noConfiguration();
  const { version, config } = accepted.value;
  const otherDrainedZones = (config.drainedZones ?? []).filter((zone) => zone !== req.zone);
  const drainedZones =
    req.action === 'drain' ? [...otherDrainedZones, req.zone] : otherDrainedZones;
  const outcome = await applyConfig(
    context,
    { ...config, drainedZones },
    { changeId: req.freshId, base: { type: 'version', version }, merge: true },
  );
  return applyCommandResult(outcome, req.freshId);
}

function noConfiguration(): CommandResult {
  const text = 'no configuration is in force yet';
  return { exitCode: EXIT.refused, text, json: { ok: false, error: text } };
}
