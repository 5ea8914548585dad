/** Outlier ejection: removes an endpoint after consecutive failures until a probe succeeds. */
import { EJECT_AFTER_FAILURES, EJECT_BASE_MS, EJECT_MAX_MS } from './consts.js';

/** Health of one endpoint as observed by one entry. Times are monotonic ms. */
export class EndpointHealth {
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private probeUntilMs = 0;

  /** Whether the endpoint is ejected. After the ejection time one request at a time may probe it. */
  isEjected(nowMs: number): boolean {
    if (this.ejections === 0) return false;
    return nowMs < this.ejectedUntilMs || nowMs < this.probeUntilMs;
  }

  /**
   * Notes that a request is sent; after an ejection it is the probe, and no other is allowed for
   * `EJECT_BASE_MS`.
   */
  noteSent(nowMs: number): void {
    if (this.ejections > 0 && nowMs >= this.ejectedUntilMs)
      this.probeUntilMs = nowMs + EJECT_BASE_MS;
  }

  /** Notes a successful answer, which ends an ejection. */
  noteSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejections = 0;
    this.probeUntilMs = 0;
  }

  /**
   * Notes a failure; true if it ejects the endpoint.
   * @example if (health.noteFailure(clock.nowMs(), Math.random)) metrics.count('ejections_total');
   */
  noteFailure(nowMs: number, random: () => number): boolean {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < EJECT_AFTER_FAILURES && this.ejections === 0) return false;
    const backoff = Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.consecutiveFailures = 0;
    this.ejectedUntilMs = nowMs + backoff * (0.75 + random() / 2);
    return true;
  }
}
