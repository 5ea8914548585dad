/** The rest that one process of an endpoint has asked one entry for. */
import { REST_SPREAD, TRIAL_MS } from './consts.js';

/**
 * When an endpoint may be asked again. Times are those of a clock that counts suspended time, ms.
 *
 * Nothing at all is sent within the rest, probes included: pauses that follow from failures in a row are shorter than what was
 * asked for, and a probe at the end of each is one more that is turned away. Its end is not the end of the need: one request at a
 * time goes there until one is answered well, so that those who were turned away do not come back in one stroke.
 */
export class Rest {
  private untilMs = Number.NEGATIVE_INFINITY;
  /** Whether nothing was answered well since. */
  private isOnTrial = false;
  /** When the request that tries it was sent; undefined while there is none. */
  private trialSentAtMs: number | undefined;

  /**
   * Notes that it asked for rest; the longest one counts.
   * @example rest.note(3000, clock.nowMs(), Math.random);
   */
  note(restMs: number, nowMs: number, random: () => number): void {
    const spreadMs = random() * Math.min(REST_SPREAD.mostMs, restMs * REST_SPREAD.share);
    this.untilMs = Math.max(this.untilMs, nowMs + restMs + spreadMs);
    this.isOnTrial = true;
  }

  /** Whether its time is not over. */
  isResting(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /**
   * When it may be asked; not later than `nowMs` where it may be asked now.
   * @example const mayAsk = rest.opensAtMs(nowMs) <= nowMs;
   */
  opensAtMs(nowMs: number): number {
    if (!this.isOnTrial) return nowMs;
    if (this.isResting(nowMs) || this.trialSentAtMs === undefined) return this.untilMs;
    // Nobody knows when the one that tries it ends.
    return Math.max(nowMs, this.trialSentAtMs) + TRIAL_MS;
  }

  /** Notes that a request goes there. */
  noteSent(nowMs: number): void {
    if (this.isOnTrial && !this.isResting(nowMs)) this.trialSentAtMs = nowMs;
  }

  /** Notes that a request that was sent at a time is over. */
  noteEnded(sentAtMs: number): void {
    if (this.trialSentAtMs === sentAtMs) this.trialSentAtMs = undefined;
  }

  /** Notes a good answer; one to a request from before the rest's end was only on its way. */
  noteGood(sentAtMs: number): void {
    if (sentAtMs >= this.untilMs) this.isOnTrial = false;
  }
}
