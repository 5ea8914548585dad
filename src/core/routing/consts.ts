/** Constants of endpoint health and speed. */

/** Consecutive failures that eject an endpoint. */
export const EJECT_AFTER_FAILURES = 3;
/** Duration of the first ejection, ms; it doubles with each failure after that, up to the maximum. */
export const EJECT_BASE_MS = 1000;
export const EJECT_MAX_MS = 30_000;
/** Pace above which an engine is chosen only as a last resort: it slows down its whole group. */
export const SLOW_PACE = 1.3;
