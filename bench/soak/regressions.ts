/** Seeds that once failed, each with its cause; CI runs them again. */

/** A seed that once failed, and why. */
export interface Regression {
  readonly seed: number;
  readonly cause: string;
}

const STOPPED_DURING_STARTUP = 'SIGTERM before its signal handlers were installed killed an agent';

const REMOVED_DURING_STORE_OUTAGE =
  'an endpoint that left during a store outage was kept until the next wait ended';

export const REGRESSIONS: readonly Regression[] = [
  { seed: 3, cause: 'SIGHUP before its signal handlers were installed killed an agent' },
  { seed: 10, cause: STOPPED_DURING_STARTUP },
  { seed: 11, cause: STOPPED_DURING_STARTUP },
  { seed: 31, cause: STOPPED_DURING_STARTUP },
  { seed: 33, cause: 'the callers cut their own last streams' },
  { seed: 48, cause: STOPPED_DURING_STARTUP },
  { seed: 101, cause: 'a pause of the soak process was counted as a hold of the group' },
  { seed: 220, cause: REMOVED_DURING_STORE_OUTAGE },
];
