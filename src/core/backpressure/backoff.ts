/** Backoff that one process of an endpoint requested from one entry with Retry-After. */
import { BACKOFF_JITTER, PROBE_MS } from './consts.js';

/**
 * When an endpoint may be sent a request again. Times are those of a clock that counts suspended
 * time, ms.
 *
 * Nothing is sent within the backoff, probes included. After it a single probe is allowed until one
 * succeeds, which avoids a thundering herd.
 */
export class Backoff {
  private untilMs = Number.NEGATIVE_INFINITY;
  /** Whether no probe has succeeded since the last backoff. */
  private isHalfOpen = false;
  /** When the probe in flight was sent; undefined if there is none. */
  private probeSentAtMs: number | undefined;

  /**
   * Starts a backoff; if several overlap, the latest end applies.
   * @example backoff.note(3000, clock.nowMs(), Math.random);
   */
  note(backoffMs: number, nowMs: number, random: () => number): void {
    const jitterMs = random() * Math.min(BACKOFF_JITTER.maxMs, backoffMs * BACKOFF_JITTER.share);
    this.untilMs = Math.max(this.untilMs, nowMs + backoffMs + jitterMs);
    this.isHalfOpen = true;
  }

  /** Whether the backoff is still in effect. */
  isBackingOff(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /**
   * When a request may be sent; not later than `nowMs` if one may be sent now.
   * @example const maySend = backoff.opensAtMs(nowMs) <= nowMs;
   */
  opensAtMs(nowMs: number): number {
    if (!this.isHalfOpen) return nowMs;
    if (this.isBackingOff(nowMs) || this.probeSentAtMs === undefined) return this.untilMs;
    // The time of the probe's answer is not known; this is the earliest likely one.
    return Math.max(nowMs, this.probeSentAtMs) + PROBE_MS;
  }

  /** Notes that a request is sent. */
  noteSent(nowMs: number): void {
    if (this.isHalfOpen && !this.isBackingOff(nowMs)) this.probeSentAtMs = nowMs;
  }

  /** Notes that the request sent at a time has ended. */
  noteEnded(sentAtMs: number): void {
    if (this.probeSentAtMs === sentAtMs) this.probeSentAtMs = undefined;
  }

  /**
   * Notes a success; it ends the probing unless the request was sent before the end of the backoff.
   */
  noteSuccess(sentAtMs: number): void {
    if (sentAtMs >= this.untilMs) this.isHalfOpen = false;
  }
}
