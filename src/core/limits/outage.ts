/**
 * Tells when none of a service's endpoints serves, as when a group has lost a rank: requests are then
 * refused at once, with the time to come back, and single ones are let through to find the end of it.
 */

/** Settings of the outage detector. */
export interface OutageOptions {
  /** Failures in a row, on any endpoints, that make an outage. */
  readonly failures: number;
  /** Time over which they come, at least, ms. */
  readonly leastMs: number;
  /** Pause between two requests let through during an outage, ms. */
  readonly probeMs: number;
}

/** A dead rank stands still for 1.5 s, and then all of its group refuse at once. */
export const OUTAGE: OutageOptions = { failures: 4, leastMs: 200, probeMs: 200 };

/** Outages of one service, as one entry sees them. Times are monotonic ms. */
export class Outage {
  private failures = 0;
  private sinceMs = 0;
  private probedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OutageOptions = OUTAGE) {}

  /** Notes a sign of service. */
  noteGood(): void {
    this.failures = 0;
  }

  /** Notes an attempt that failed in a way that says that its endpoint does not serve. */
  noteBad(nowMs: number): void {
    if (this.failures === 0) this.sinceMs = nowMs;
    this.failures += 1;
  }

  /** Whether there is an outage. */
  isOut(nowMs: number): boolean {
    const { failures, leastMs } = this.options;
    return this.failures >= failures && nowMs - this.sinceMs >= leastMs;
  }

  /** Time since the first failure of those in a row, ms; 0 without an outage. */
  lastedMs(nowMs: number): number {
    return this.isOut(nowMs) ? nowMs - this.sinceMs : 0;
  }

  /**
   * Whether a request is to be refused now; a probe is let through now and then.
   * @example if (outage.refuses(clock.nowMs())) return refuse();
   */
  refuses(nowMs: number): boolean {
    if (!this.isOut(nowMs)) return false;
    if (nowMs - this.probedAtMs < this.options.probeMs) return true;
    this.probedAtMs = nowMs;
    return false;
  }
}
