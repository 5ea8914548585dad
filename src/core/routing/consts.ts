/** Constants of endpoint health. */

/** Failures in a row that eject an endpoint. */
export const EJECT_AFTER_FAILURES = 3;
/** Time for which it is left out first, ms; it doubles with each further failure, up to the most. */
export const EJECT_BASE_MS = 1000;
export const EJECT_MAX_MS = 30_000;
