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

const NO_SUSPICION: SuspicionReports = { crashes: [], answers: [], survivals: [] };

/**
 * Completes the fields of a datagram with the optional ones. Fields that are empty are left out at the end,
 * so that the datagram is the same as before they existed. Empty usage is written: it says that the teams
 * hold nothing any more, while null says that none is reported.
 *
 * @param fields - All other fields.
 * @param fixed - Number of fields that are always written.
 * @param optional - The optional fields.
 * @param reach - Which services hosts reach, encoded; absent where it is not reported.
 * @param retries - What hosts have used of retry budgets, encoded; absent where it is not reported.
 * @returns The fields to write.
 */
export function withOptionalFields(
  fields: readonly unknown[],
  fixed: number,
  { usage, callTimes = [], suspicion = NO_SUSPICION }: OptionalFields,
  reach?: readonly unknown[],
  retries?: readonly unknown[],
): readonly unknown[] {
  const times = [usage ?? null, UNUSED, encodeCallTimes(callTimes)];
  if (retries !== undefined)
    return [...fields, ...times, encodeSuspicion(suspicion), reach ?? null, retries];
  if (reach !== undefined) return [...fields, ...times, encodeSuspicion(suspicion), reach];
  if (!isEmptySuspicion(suspicion)) return [...fields, ...times, encodeSuspicion(suspicion)];
  if (callTimes.length > 0) return [...fields, ...times];
  return usage === undefined ? withoutTrailingEmpty(fields, fixed) : [...fields, usage];
}
