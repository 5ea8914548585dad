/** Backoff that one process of an endpoint asked one entry for by Retry-After. */
import { BACKOFF_JITTER, PROBE_MS } from './consts.js';

/**
 * When an endpoint may be sent a request again. Times are those of a clock that counts suspended time, ms.
 *
 * Nothing is sent within the backoff, probes included. After it a single probe is allowed until one succeeds, which avoids a
 * thundering herd.
 */
export class Backoff {
  private untilMs = Number.NEGATIVE_INFINITY;
  /** Whether no probe has succeeded since. */
  private isHalfOpen = false;
  /** When the probe under way was sent; undefined if there is none. */
  private probeSentAtMs: number | undefined;

  /**
   * Starts a backoff; the longest one counts.
   * @example backoff.note(3000, clock.nowMs(), Math.random);
   */
  note(restMs: number, nowMs: number, random: () => number): void {
    const jitterMs = random() * Math.min(BACKOFF_JITTER.maxMs, restMs * BACKOFF_JITTER.share);
    this.untilMs = Math.max(this.untilMs, nowMs + restMs + jitterMs);
    this.isHalfOpen = true;
  }

  /** Whether the backoff is not over. */
  isResting(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /**
   * When a request may be sent; not later than `nowMs` if one may be sent now.
   * @example const mayAsk = backoff.opensAtMs(nowMs) <= nowMs;
   */
  opensAtMs(nowMs: number): number {
    if (!this.isHalfOpen) return nowMs;
    if (this.isResting(nowMs) || this.probeSentAtMs === undefined) return this.untilMs;
    // The end of a probe is not known; this is the earliest that is likely.
    return Math.max(nowMs, this.probeSentAtMs) + PROBE_MS;
  }

  /** Notes that a request is sent. */
  noteSent(nowMs: number): void {
    if (this.isHalfOpen && !this.isResting(nowMs)) this.probeSentAtMs = nowMs;
  }

  /** Notes that a request that was sent at a time is over. */
  noteEnded(sentAtMs: number): void {
    if (this.probeSentAtMs === sentAtMs) this.probeSentAtMs = undefined;
  }

  /** Notes a success; one that was sent before the end of the backoff proves nothing. */
  noteGood(sentAtMs: number): void {
    if (sentAtMs >= this.untilMs) this.isHalfOpen = false;
  }
}
