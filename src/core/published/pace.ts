/**
 * How often daemons poll the published state, derived from the time within which it must take
 * effect.
 */

/**
 * Timing of the calls to the store. Every call counts against its rate limit, a waiting one as one
 * call.
 */
export interface FollowPace {
  /** Longest wait for a change, ms. */
  readonly waitMs: number;
  /** Shortest wait, ms; keeps an unreadable configuration from causing a tight loop of calls. */
  readonly minWaitMs: number;
  /**
   * Pause after a change before the next watch, ms. Changes come in bursts, for example when all
   * endpoints start.
   */
  readonly changePauseMs: number;
  /** Pause after a failed call, ms; grows with each consecutive failure. */
  readonly failedPauseMs: number;
}

/**
 * Timeout of a store response beyond the time for which the store may hold the request, ms. It
 * responds in 4 ms, and in up to 0.3 s while it is slow.
 */
export const STORE_ANSWER_TIMEOUT_MS = 800;
/** Margin for a busy processor and a new connection, ms. */
const MARGIN_MS = 200;
/**
 * Longest wait of an entry, ms. A watch that ends without a change confirms the active
 * configuration as current, and API keys are accepted for 3.5 s after that: this leaves time for
 * one failed call.
 */
const MAX_ENTRY_WAIT_MS = 2400;
/**
 * Lower bound of an entry's wait, ms, because every call to the store counts against its rate
 * limit.
 */
const MIN_ENTRY_WAIT_MS = 400;

/**
 * Returns the pace of an entry that must follow the published state again within `contactMs` after
 * its connections stall. Its watch and one full call after it fit into that time. With a fixed wait
 * of 2.4 s, 16 of 48 entries used outdated state beyond a bound of 3 s (test/soak/silent-fleet).
 * @example entryPace(3000).waitMs // 1200
 */
export function entryPace(contactMs: number): FollowPace {
  const budgetMs = contactMs - 2 * STORE_ANSWER_TIMEOUT_MS - MARGIN_MS;
  return {
    waitMs: Math.max(MIN_ENTRY_WAIT_MS, Math.min(MAX_ENTRY_WAIT_MS, budgetMs)),
    minWaitMs: 200,
    changePauseMs: 600,
    failedPauseMs: 300,
  };
}

/**
 * Pace of an entry that acts as a relay. Other daemons drop it when its last contact with the store
 * is too old (`RELAY_STALE_MS`), so it must renew that well within the bound, also when the store
 * takes 0.24 s to respond.
 */
export const RELAY_PACE: FollowPace = {
  waitMs: 700,
  minWaitMs: 100,
  changePauseMs: 400,
  failedPauseMs: 300,
};
/** Pace of an agent, which rarely acts on the published state. */
export const AGENT_PACE: FollowPace = {
  waitMs: 15_000,
  minWaitMs: 1000,
  changePauseMs: 1000,
  failedPauseMs: 1000,
};
