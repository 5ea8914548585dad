/** Distinguishes returning callers, which have been refused before, from new ones. */
import type { RouteId } from '../../core/published/index.js';

/**
 * Range of the threshold, as a share of the longest deadline seen on a route: callers with shorter
 * deadlines count as returning. A refused caller has used up a second or more of its initial 8 s.
 */
const THRESHOLD_RANGE = { min: 0.5, max: 0.9 } as const;

/** Time after a refusal in which its caller may retry, ms: Retry-After of up to 2.6 s and latency. */
const RETURN_WINDOW_MS = 3000;

/** Share of new callers that may have a deadline below the estimated minimum. */
const SHORT_DEADLINE_QUANTILE = 0.03;
/**
 * Step of the estimated minimum, as a share of the longest deadline. With a minimum of 0.85, the
 * estimate converges after 15 callers in 9 of 10 simulations; an entry sees as many in 4 s.
 */
const ESTIMATE_STEP = 0.02;
/** Margin below the estimated minimum, as a share of the longest deadline; covers its steps. */
const SHARE_MARGIN = 0.02;

/**
 * Estimates the deadlines of new callers, by route.
 *
 * Deadlines of new callers vary. With some at 0.85 of the longest one, a fixed threshold of 0.9
 * classified a third of all new callers as returning, which queued them behind the others; the
 * estimated threshold misclassifies none of them (see returning-callers.test).
 */
export class ReturningCallers {
  /** Longest deadline by route, ms. */
  private readonly maxDeadlineMs = new Map<RouteId, number>();
  /** Estimated minimum deadline of new callers, as a share of the longest. */
  private minShare = THRESHOLD_RANGE.max + SHARE_MARGIN;
  private lastRefusalAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a caller was refused and may retry. */
  recordRefusal(nowMs: number): void {
    this.lastRefusalAtMs = nowMs;
  }

  /**
   * Whether a caller has been refused before: its deadline is shorter than those of new callers.
   * @example callers.isReturning(route.id, 5600, clock.nowMs()) // true if others wait 8 s
   */
  isReturning(route: RouteId, deadlineMs: number, nowMs: number): boolean {
    const maxDeadlineMs = Math.max(this.maxDeadlineMs.get(route) ?? 0, deadlineMs);
    this.maxDeadlineMs.set(route, maxDeadlineMs);
    const share = deadlineMs / maxDeadlineMs;
    if (nowMs - this.lastRefusalAtMs > RETURN_WINDOW_MS) this.updateMinShare(share);
    return share < this.minShare - SHARE_MARGIN;
  }

  /** Updates the estimate with the deadline of a caller that is most likely new. */
  private updateMinShare(share: number): void {
    const isBelow = share < this.minShare;
    const step = ESTIMATE_STEP * (isBelow ? SHORT_DEADLINE_QUANTILE - 1 : SHORT_DEADLINE_QUANTILE);
    const { min, max } = THRESHOLD_RANGE;
    this.minShare = Math.max(
      min + SHARE_MARGIN,
      Math.min(max + SHARE_MARGIN, this.minShare + step),
    );
  }
}
