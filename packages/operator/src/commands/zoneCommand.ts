import type { ZoneId } from '@camphorvane/core';
import type { ApplyContext } from '../apply/ApplyContext.ts';
import { applyConfig } from '../apply/ConfigApply.ts';
import { readAccepted } from '../apply/readAccepted.ts';
import { EXIT, type CommandResult } from './CommandResult.ts';
import { applyResult, readFailure } from './declarationCommands.ts';

/** What is to become of an availability zone. */
export interface ZoneRequest {
  readonly zone: ZoneId;
  /** `drain` takes its upstreams out of use, `restore` takes them back. */
  readonly action: 'drain' | 'restore';
  /** A text that was never used before. */
  readonly freshId: string;
}

/**
 * Drains an availability zone, or restores it, without a declarations file.
 *
 * The configuration in force is changed in this one point. What another operator changes meanwhile is
 * kept; the next apply of a file that does not name the zone as drained conflicts with the drain.
 *
 * @param context - The platform, the time, and the spread of retries.
 * @param req - The zone, and what is to become of it.
 * @returns Exit codes as of `apply`.
 */
export async function zoneCommand(context: ApplyContext, req: ZoneRequest): Promise<CommandResult> {
  const accepted = await readAccepted(context.store);
  if (accepted.isErr()) return readFailure(accepted.error);
  if (accepted.value === undefined) return notConfigured();
  const { version, config } = accepted.value;
  const others = (config.drainedZones ?? []).filter((zone) => zone !== req.zone);
  const drainedZones = req.action === 'drain' ? [...others, req.zone] : others;
  const outcome = await applyConfig(
    context,
    { ...config, drainedZones },
    { changeId: req.freshId, base: { type: 'version', version }, merge: true },
  );
  return applyResult(outcome, req.freshId);
}

function notConfigured(): CommandResult {
  const text = 'no configuration is in force yet';
  return { exitCode: EXIT.refused, text, json: { ok: false, error: text } };
}
