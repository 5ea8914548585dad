/** Tells callers that have been refused before from fresh ones. */
import type { RouteId } from '../core/published/index.js';

/**
 * Part of the longest wait seen on a route below which a caller is one that came back: who was refused
 * has waited a second or more of the eight that it waits at first.
 */
const RETURNING_SHARE = 0.9;

/** What callers of each route said they would wait. */
export class ReturningCallers {
  /** Longest time by route, ms. */
  private readonly longestWaitMs = new Map<RouteId, number>();

  /**
   * Whether a caller has been refused before: it says that it waits much less than others of its route.
   * @example callers.isReturning(route.id, 5600) // true where others wait 8 s
   */
  isReturning(route: RouteId, waitsMs: number): boolean {
    const longest = Math.max(this.longestWaitMs.get(route) ?? 0, waitsMs);
    this.longestWaitMs.set(route, longest);
    return waitsMs < longest * RETURNING_SHARE;
  }
}
