/**
 * Retry budget: limits retries to a share of first attempts, which prevents a retry storm during a
 * fault.
 */
import type { Clock } from '../clock/index.js';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Length of the sliding window, ms. */
  readonly windowMs: number;
  /** Retries allowed per first attempt, 0 to 1; evaluated at each decision. */
  readonly share: () => number;
  /** Additional retries allowed within a window; evaluated at each decision. */
  readonly extra: () => number;
}

/**
 * Budget of one set of endpoints: within any window, retries are limited to a share of the first
 * attempts plus `extra`.
 *
 * Retries that were allowed and not used in the last window may be used at once, since a stalled
 * group fails all of its streams within a second. With only the extra retries available at once,
 * 128 of 270 streams of a group of 24 ranks behind a frozen instance were not retried, all at the
 * 14 entries nearest to it, although 594 retries in 10 s were allowed. With the unused ones, an
 * entry with 4.3 requests/s may retry 10 at once instead of 4.
 */
export class RetryBudget {
  private readonly firstAttempts: SlidingWindowCounter;
  private readonly retries: SlidingWindowCounter;

  constructor(private readonly options: RetryBudgetOptions) {
    this.firstAttempts = new SlidingWindowCounter(options.clock, options.windowMs);
    this.retries = new SlidingWindowCounter(options.clock, options.windowMs);
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.firstAttempts.add();
  }

  /** Whether the budget allows a retry now. */
  canWithdraw(): boolean {
    const { share, extra } = this.options;
    return this.retries.upperBound + 1 <= share() * this.firstAttempts.lowerBound + extra();
  }

  /**
   * Consumes one retry; false if the budget is exhausted.
   * @example if (!budget.withdraw()) return notRun('retry-budget');
   */
  withdraw(): boolean {
    if (!this.canWithdraw()) return false;
    this.retries.add();
    return true;
  }
}
