import type { ObjectVersion } from '@camphorvane/store';
import type { ReferenceFault } from '../declarations/checkReferences.ts';
import type { ConfigChange, ItemName } from './ConfigItem.ts';

/** Why a configuration was not accepted, or why that can't be told. */
export type ApplyError =
  /** Others changed the configuration since the base. */
  | {
      readonly type: 'conflict';
      readonly current: ObjectVersion;
      /** What both sides changed, each in its own way; empty where a merge would do. */
      readonly both: readonly ItemName[];
      /** All that the others changed since the base. */
      readonly theirs: readonly ConfigChange[];
    }
  /** The base is not among the versions that the root remembers. */
  | {
      readonly type: 'base_unknown';
      readonly base: ObjectVersion;
      readonly current: ObjectVersion;
    }
  /** The change id was used before, for another configuration. */
  | { readonly type: 'change_id_reused'; readonly version: ObjectVersion }
  | { readonly type: 'part_too_large'; readonly part: string; readonly bytes: number }
  /** The configuration, or what merging made of it, does not hold together. */
  | { readonly type: 'invalid'; readonly faults: readonly ReferenceFault[] }
  | { readonly type: 'refused'; readonly message: string }
  | { readonly type: 'unreadable'; readonly message: string }
  /** Nothing was accepted: the platform did not answer before the root was written. */
  | { readonly type: 'unavailable'; readonly message: string }
  /** The root may have been written; applying again with the same change id tells. */
  | { readonly type: 'outcome_unknown'; readonly changeId: string };

/**
 * Gets a text for an operator.
 *
 * @param error - Why a configuration was not accepted.
 * @returns A sentence or a few lines.
 */
export function describeApplyError(error: ApplyError): string {
  switch (error.type) {
    case 'conflict':
      return describeConflict(error.current, error.both, error.theirs);
    case 'base_unknown':
      return (
        `The base, version ${error.base}, is too old or was never accepted; version ` +
        `${error.current} is in force. Compare with it (diff) and apply again with that base.`
      );
    case 'change_id_reused':
      return `The change id was used before, for another configuration (version ${error.version}).`;
    case 'part_too_large':
      return `The part ${error.part} takes ${error.bytes} bytes, more than the platform holds.`;
    case 'invalid':
      return error.faults
        .map(
          ({ path, found, expected }) => `${path.join('.')}: found ${found}, expected ${expected}`,
        )
        .join('\n');
    case 'refused':
    case 'unreadable':
    case 'unavailable':
      return error.message;
    case 'outcome_unknown':
      return (
        'The platform stopped answering after the change was sent, so it may be in force. ' +
        `Apply again with --change-id ${error.changeId} to learn it.`
      );
    default:
      return error satisfies never;
  }
}

function describeConflict(
  current: ObjectVersion,
  both: readonly ItemName[],
  theirs: readonly ConfigChange[],
): string {
  const since = theirs.map((change) => `  ${change.kind} ${change.item}`);
  const advice =
    both.length === 0
      ? ['Nothing was changed by both sides: apply again with --merge to keep both.']
      : ['Changed by both sides:', ...both.map((item) => `  ${item}`)];
  return [
    `Version ${current} is in force, and differs from the base of this change:`,
    ...since,
    ...advice,
  ].join('\n');
}
