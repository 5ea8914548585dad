/** Tells callers that have been refused before from fresh ones. */
import type { RouteId } from '../core/published/index.js';

/**
 * Part of the longest wait seen on a route below which a caller is one that came back, at most: who was refused
 * has waited a second or more of the eight that it waits at first.
 */
const RETURNING_SHARE = { least: 0.5, most: 0.9 } as const;

/** Time after a refusal in which its caller may come back, ms: the longest Retry-After, 2.6 s, and the way. */
const COMES_BACK_MS = 3000;

/** Share of the fresh callers that may wait less than what is taken for the least of them. */
const IMPATIENT_SHARE = 0.03;
/**
 * How fast the least wait is learnt, as a share of the longest: from 15 callers in 9 of 10 plays where that wait is 0.85, which is
 * what an entry gets in 4 s.
 */
const LEARNING_STEP = 0.02;
/** Room below the least wait of fresh callers, as a share of the longest: what is learnt goes up and down by a step. */
const MARGIN = 0.02;

/**
 * What callers of each route said they would wait.
 *
 * Fresh callers need not all wait as long. Where some wait 0.85 of the longest time, a fixed part of 0.9 took a third of all
 * fresh ones for such as came back, and put them behind the others for it; with what is learnt, none of them (returning.test).
 */
export class ReturningCallers {
  /** Longest time by route, ms. */
  private readonly longestWaitMs = new Map<RouteId, number>();
  /** What the least patient fresh callers wait, as a share of the longest. */
  private leastShare = RETURNING_SHARE.most + MARGIN;
  private refusedAtMs = Number.NEGATIVE_INFINITY;

  /** Notes that a caller was refused, and may come back. */
  noteRefused(nowMs: number): void {
    this.refusedAtMs = nowMs;
  }

  /**
   * Whether a caller has been refused before: it says that it waits less than fresh ones of its route do.
   * @example callers.isReturning(route.id, 5600, clock.nowMs()) // true where others wait 8 s
   */
  isReturning(route: RouteId, waitsMs: number, nowMs: number): boolean {
    const longest = Math.max(this.longestWaitMs.get(route) ?? 0, waitsMs);
    this.longestWaitMs.set(route, longest);
    const share = waitsMs / longest;
    if (nowMs - this.refusedAtMs > COMES_BACK_MS) this.learn(share);
    return share < this.leastShare - MARGIN;
  }

  /** Takes a caller into account that nobody is likely to have refused. */
  private learn(share: number): void {
    const isBelow = share < this.leastShare;
    const step = LEARNING_STEP * (isBelow ? IMPATIENT_SHARE - 1 : IMPATIENT_SHARE);
    const { least, most } = RETURNING_SHARE;
    this.leastShare = Math.max(least + MARGIN, Math.min(most + MARGIN, this.leastShare + step));
  }
}
