/**
 * Detects that no endpoint of a service works, for example after its group lost a rank. During an
 * outage requests are refused at once with a Retry-After, and single requests are let through to
 * probe for its end.
 */

/** Settings of the outage detector. */
export interface OutageOptions {
  /** Consecutive failures, on any endpoints, that make an outage. */
  readonly failures: number;
  /** Minimum time between the first of these failures and the start of the outage, ms. */
  readonly minDurationMs: number;
  /** Minimum time between two requests let through during an outage, ms. */
  readonly probeIntervalMs: number;
}

/**
 * A group with a crashed rank stalls for 1.5 s, and then all of its ranks refuse requests at once.
 */
export const DEFAULT_OUTAGE_OPTIONS: OutageOptions = {
  failures: 4,
  minDurationMs: 200,
  probeIntervalMs: 200,
};

/** Detects outages of one service, as one entry observes them. Times are monotonic ms. */
export class OutageDetector {
  private consecutiveFailures = 0;
  private firstFailureAtMs = 0;
  private lastProbeAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OutageOptions = DEFAULT_OUTAGE_OPTIONS) {}

  /** Notes that an endpoint works, which ends an outage. */
  noteSuccess(): void {
    this.consecutiveFailures = 0;
  }

  /** Notes an attempt whose failure means that the endpoint does not work. */
  noteFailure(nowMs: number): void {
    if (this.consecutiveFailures === 0) this.firstFailureAtMs = nowMs;
    this.consecutiveFailures += 1;
  }

  /** Whether there is an outage. */
  isDown(nowMs: number): boolean {
    const { failures, minDurationMs } = this.options;
    return this.consecutiveFailures >= failures && nowMs - this.firstFailureAtMs >= minDurationMs;
  }

  /** Time since the first of the consecutive failures, ms; 0 without an outage. */
  downForMs(nowMs: number): number {
    return this.isDown(nowMs) ? nowMs - this.firstFailureAtMs : 0;
  }

  /**
   * Whether to refuse a request now; false for one probe per interval.
   * @example if (outage.shouldRefuse(clock.nowMs())) return refuse();
   */
  shouldRefuse(nowMs: number): boolean {
    if (!this.isDown(nowMs)) return false;
    if (nowMs - this.lastProbeAtMs < this.options.probeIntervalMs) return true;
    this.lastProbeAtMs = nowMs;
    return false;
  }
}
