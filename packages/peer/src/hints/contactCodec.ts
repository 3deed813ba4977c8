import type { ContactReport } from '@camphorvane/store';
import { isNonNegativeNumber } from './hintRowCodec.ts';

/**
 * Encodes a report as the last fields of a row.
 *
 * @param report - The report.
 * @returns The fields; none where there is no report.
 */
export function encodeContact(report: ContactReport | undefined): readonly number[] {
  if (report === undefined) return [];
  return [Math.round(report.answeredMsAgo), Math.round(report.steadyMs)];
}

/**
 * Decodes the last fields of a row.
 *
 * @param fields - The fields.
 * @returns The report as a field of a message; empty where the fields are no report.
 */
export function decodeContact(fields: readonly unknown[]): { readonly contact?: ContactReport } {
  const [answeredMsAgo, steadyMs] = fields;
  if (!isNonNegativeNumber(answeredMsAgo) || !isNonNegativeNumber(steadyMs)) return {};
  return { contact: { answeredMsAgo, steadyMs } };
}
