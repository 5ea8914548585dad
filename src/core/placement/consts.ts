/** Constants of expert placement, shared by the coordinator and the placement benchmark. */

/** Half-life of the decayed popularity counts, ms. */
export const POPULARITY_HALF_LIFE_MS = 20_000;
/** Time over which the gain of a better placement is expected to last, ms. */
export const GAIN_HORIZON_MS = 60_000;
/** Assumed duration of a balanced step, ms (at least 5); converts load gains to time. */
export const BALANCED_STEP_MS = 5;
/** Longest time over which unused weight-store bandwidth accrues to the fetch budget, ms. */
export const MAX_BUDGET_ACCRUAL_MS = 30_000;
