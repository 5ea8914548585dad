/** Weighs a slot for a returning caller at its last chance against one for a waiting first try. */

/** What callers lose and gain, relative to an answer in time. */
export interface CallerValues {
  /** Value of a late answer. */
  readonly late: number;
  /** Loss by a second refusal. */
  readonly refusedAgain: number;
}

/** Late answers are worth 0.3 to 0.5; a second refusal is counted as a loss of 0.3. */
export const DEFAULT_CALLER_VALUES: CallerValues = { late: 0.4, refusedAgain: 0.3 };

/** Maximum part of the grants that goes to returning callers before first tries. */
const MAX_LAST_CHANCE_SHARE = 0.2;

/**
 * Part of the grants that returning callers at their last chance may take before first tries. The first try that is
 * passed over returns and is served late with the probability `servedShare`; it is worth it only if most are.
 * @example lastChanceShare(0.95) // 0.2
 */
export function lastChanceShare(
  servedShare: number,
  { late, refusedAgain }: CallerValues = DEFAULT_CALLER_VALUES,
): number {
  const passedOver = servedShare * late - (1 - servedShare) * refusedAgain;
  const gain = late + passedOver - (1 - refusedAgain);
  return gain > 0 ? MAX_LAST_CHANCE_SHARE : 0;
}
