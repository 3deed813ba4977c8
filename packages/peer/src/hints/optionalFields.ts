import type { CallTime, SuspicionReports, UsageRow } from '@camphorvane/decisions';
import { encodeCallTimes } from './callTimeCodec.ts';
import { withoutTrailingEmpty } from './hintRowCodec.ts';
import { encodeSuspicion, isEmptySuspicion } from './suspicionCodec.ts';

/** Place of a field that no release has used yet. */
const UNUSED: readonly never[] = [];

/** Fields that a datagram has only where there is something to report. */
export interface OptionalFields {
  readonly usage?: readonly UsageRow[];
  readonly callTimes?: readonly CallTime[];
  readonly suspicion?: SuspicionReports;
}

/**
 * Completes the fields of a datagram with the optional ones. Fields that are empty are left out at the end,
 * so that the datagram is the same as before they existed. Empty usage is written: it says that the teams
 * hold nothing any more, while null says that none is reported.
 *
 * @param fields - All other fields.
 * @param fixed - Number of fields that are always written.
 * @param optional - The optional fields.
 * @returns The fields to write.
 */
export function withOptionalFields(
  fields: readonly unknown[],
  fixed: number,
  { usage, callTimes = [], suspicion }: OptionalFields,
): readonly unknown[] {
  if (suspicion !== undefined && !isEmptySuspicion(suspicion)) {
    const times = encodeCallTimes(callTimes);
    return [...fields, usage ?? null, UNUSED, times, encodeSuspicion(suspicion)];
  }
  if (callTimes.length > 0) return [...fields, usage ?? null, UNUSED, encodeCallTimes(callTimes)];
  return usage === undefined ? withoutTrailingEmpty(fields, fixed) : [...fields, usage];
}
