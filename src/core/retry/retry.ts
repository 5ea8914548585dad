/** Retry budget: retries are a share of first attempts, so that a fault does not become a storm. */

/** Budget of one set of endpoints. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param share retries allowed for each first attempt, 0 to 1
   * @param burst retries allowed at once when nothing was retried for long
   */
  constructor(
    private readonly share: () => number,
    private readonly burst = 10,
  ) {
    this.tokens = burst;
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.share());
  }

  /** Whether a retry could be taken now. */
  canWithdraw(): boolean {
    return this.tokens >= 1;
  }

  /**
   * Takes one retry if the budget has one.
   * @example if (!budget.withdraw()) return notRun('retry-budget');
   */
  withdraw(): boolean {
    if (!this.canWithdraw()) return false;
    this.tokens -= 1;
    return true;
  }
}
