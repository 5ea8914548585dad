/** Interface of limiters of the requests of one entry to endpoints that named a rate limit. */

/** The limiter of one process of an endpoint at one entry. */
export interface RateLimiter {
  /**
   * Earliest time at which a token may be available, ms; not later than `nowMs` if one may be now.
   */
  nextTokenAtMs(nowMs: number): number;
  /**
   * Consumes a token; false if there is none. Succeeds without a token while no limit is in effect.
   */
  acquire(): Promise<boolean>;
}
