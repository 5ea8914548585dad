/** Retry budget: retries are a share of first attempts, so that a fault does not become a storm. */
import type { Clock } from '../clock/index.js';
import { WindowCount } from './window-count.js';

/** What a budget allows. */
export interface RetryTerms {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Time over which retries are allowed together, ms. */
  readonly windowMs: number;
  /** Retries allowed for each first attempt, 0 to 1; it may change. */
  readonly share: () => number;
  /** Retries allowed besides within a window; it may change. */
  readonly extra: () => number;
}

/**
 * Budget of one set of endpoints: within any window no more retries than a share of its first attempts, and some besides.
 *
 * What was allowed and not used in the last window may be used at once: a group that stands still fails all of its streams in
 * the same second. Where only the extra ones could be taken at once, 128 of 270 streams of a group of 24 ranks behind a frozen
 * instance were not tried elsewhere, all at the 14 entries nearest to it, though the users allow 594 retries in ten seconds; an entry with 4.3 requests a
 * second may take 10 at once in place of 4 (retry.test).
 */
export class RetryBudget {
  private readonly firsts: WindowCount;
  private readonly retries: WindowCount;

  constructor(private readonly terms: RetryTerms) {
    this.firsts = new WindowCount(terms.clock, terms.windowMs);
    this.retries = new WindowCount(terms.clock, terms.windowMs);
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.firsts.add();
  }

  /** Whether a retry could be taken now. */
  canWithdraw(): boolean {
    const { share, extra } = this.terms;
    return this.retries.atMost + 1 <= share() * this.firsts.atLeast + extra();
  }

  /**
   * Takes one retry if the budget has one.
   * @example if (!budget.withdraw()) return notRun('retry-budget');
   */
  withdraw(): boolean {
    if (!this.canWithdraw()) return false;
    this.retries.add();
    return true;
  }
}
