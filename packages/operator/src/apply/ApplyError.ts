import type { ObjectVersion } from '@camphorvane/store';
import type { ConfigFault } from '../declarations/findConfigFaults.ts';
import type { ConfigChange, ItemName } from './configDiff.ts';

/** Why a configuration was not accepted, or why the outcome is unknown. */
export type ApplyError =
  /** The configuration in force has changed since the base. */
  | {
      readonly type: 'conflict';
      readonly current: ObjectVersion;
      /** Items that both sides changed to different values; empty if a merge would succeed. */
      readonly both: readonly ItemName[];
      /** Every change between the base and the version in force. */
      readonly theirs: readonly ConfigChange[];
    }
  /** The base is not in the root's history. */
  | {
      readonly type: 'base_unknown';
      readonly base: ObjectVersion;
      readonly current: ObjectVersion;
    }
  /** The change id was already used for a different configuration. */
  | { readonly type: 'change_id_reused'; readonly version: ObjectVersion }
  | { readonly type: 'part_too_large'; readonly part: string; readonly bytes: number }
  /** The configuration, or the merged one, fails validation. */
  | { readonly type: 'invalid'; readonly faults: readonly ConfigFault[] }
  /** The platform rejected a write as invalid. */
  | { readonly type: 'refused'; readonly message: string }
  /** A stored configuration is missing, damaged or in an unknown format. */
  | { readonly type: 'unreadable'; readonly message: string }
  /** Nothing was accepted: every attempt failed before the root was written. */
  | { readonly type: 'unavailable'; readonly message: string }
  /** The root may have been written; retrying with the same change id reveals the outcome. */
  | { readonly type: 'outcome_unknown'; readonly changeId: string };

/**
 * Formats an error for an operator.
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
        `The base, version ${error.base}, is no longer in the history or was never accepted; version ` +
        `${error.current} is in force. Run diff against it and apply again with that base.`
      );
    case 'change_id_reused':
      return `The change id was already used for a different configuration (version ${error.version}).`;
    case 'part_too_large':
      return `The part ${error.part} takes ${error.bytes} bytes, more than the platform can store.`;
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
        'The platform stopped responding after the change was sent, so it may be in force. ' +
        `Apply again with --change-id ${error.changeId} to find out.`
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
  const changeLines = theirs.map((change) => `  ${change.kind} ${change.item}`);
  const advice =
    both.length === 0
      ? [
          'No item was changed by both sides: apply again with --merge to keep both sets of changes.',
        ]
      : ['Changed by both sides:', ...both.map((item) => `  ${item}`)];
  return [
    `Version ${current} is in force and differs from the base of this change:`,
    ...changeLines,
    ...advice,
  ].join('\n');
}
