/** What decides whether an entry may send a request to an endpoint that named a rate limit. */

/** The limiter of one process of an endpoint at one entry. */
export interface RateLimiter {
  /** Earliest time at which a token may be had, ms; not later than `nowMs` if one may be had now. */
  nextTokenAtMs(nowMs: number): number;
  /** Consumes a token; false if there is none. Needs none while no limit stands. */
  acquire(): Promise<boolean>;
}
