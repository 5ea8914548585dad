/** Retry budget: retries are a share of first attempts, so that a fault does not become a storm. */

/** Budget of one set of endpoints. */
export class RetryBudget {
  /** Retries taken and not yet made good by first attempts; 0 or below. */
  private balance = 0;

  /**
   * @param share retries allowed for each first attempt, 0 to 1
   * @param burst retries allowed at once when nothing was retried for long; it may change
   */
  constructor(
    private readonly share: () => number,
    private readonly burst: () => number = () => 10,
  ) {}

  /** Notes a first attempt. */
  deposit(): void {
    this.balance = Math.min(0, this.balance + this.share());
  }

  /** Whether a retry could be taken now. */
  canWithdraw(): boolean {
    return this.burst() + this.balance >= 1;
  }

  /**
   * Takes one retry if the budget has one.
   * @example if (!budget.withdraw()) return notRun('retry-budget');
   */
  withdraw(): boolean {
    if (!this.canWithdraw()) return false;
    this.balance -= 1;
    return true;
  }
}
