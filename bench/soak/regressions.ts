/** Seeds that ever failed, each with its cause; they are played again in CI. */

/** One seed that failed. */
export interface Regression {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSIONS: readonly Regression[] = [];
