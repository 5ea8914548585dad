/** Constants of endpoint health. */

/** Consecutive failures that eject an endpoint. */
export const EJECT_AFTER_FAILURES = 3;
/** Duration of the first ejection, ms; it doubles with each failure after that, up to the maximum. */
export const EJECT_BASE_MS = 1000;
export const EJECT_MAX_MS = 30_000;
