/** Constants of backoff and rate limits. */

/** Upper bound on an accepted Retry-After, ms. */
export const MAX_BACKOFF_MS = 3_600_000;

/**
 * Random addition to a backoff: a share of it, up to `maxMs`. Spreads the retries of entries that
 * were refused at the same time.
 */
export const BACKOFF_JITTER = { share: 0.2, maxMs: 1000 } as const;

/** Time within which a probe after a backoff is likely to be answered, ms. */
export const PROBE_MS = 500;

/**
 * Maximum requests to an endpoint from all entries in any window: `factor` times what its limit
 * allows, plus `extra`.
 */
export const LIMIT_BOUND = { windowMs: 4000, factor: 1.5, extra: 5 } as const;
/** Part of the bound that is handed out; the rest covers requests in flight. */
export const TARGET_UTILISATION = 0.9;

/**
 * Time after which the limits of endpoints that are no longer listed are dropped, from when they
 * were last named, ms.
 */
export const UNLISTED_MS = 60_000;
/** Interval at which a limit in effect is announced again, ms. */
export const ANNOUNCE_MS = 4000;
/** Ramp after the end of a limit in which the rate doubles each second, ms. */
export const RELEASE_MS = 4000;
/** Rate of all entries together at which the ramp starts if the limit was lower, requests/s. */
export const MIN_RELEASED_PER_S = 1;
/**
 * Minimum rate of all entries together, even if a limit is lower, requests/s: only answers show
 * when the limit ends.
 */
export const MIN_PROBE_PER_S = 0.1;

/** Maximum number of relays that grant tokens of one endpoint. */
export const MAX_SHARDS = 3;
/** Target number of token requests to a relay per token that it grants. */
export const REQUESTS_PER_TOKEN = 4;
/** Maximum pause of an entry to leave tokens to others, ms. */
export const MAX_SPACING_MS = 20_000;
/** Time without a token request after which an entry no longer counts as a competitor, ms. */
export const COMPETITOR_MS = 10_000;
/** Timeout of a request for a token, ms; a caller waits meanwhile. */
export const TOKEN_TIMEOUT_MS = 100;
/** Shortest pause after a denial, ms. */
export const MIN_RETRY_MS = 5;
/** Pause before a token request to a relay that did not answer, ms; up to twice as long at random. */
export const UNREACHABLE_RETRY_MS = 1000;
/** Maximum number of concurrent requests for tokens of one endpoint at an entry. */
export const MAX_PENDING = 8;
/** Pause while that many are in flight, ms. */
export const PENDING_RETRY_MS = 10;

/** Number of entries assumed while fewer are known. */
export const ASSUMED_PEERS = 48;
/** Part of a limit that isolated entries use together if there are as many as assumed. */
export const ISOLATED_SHARE = 0.5;

/**
 * Maximum requests to a cold endpoint from all entries in a second: `factor` times its rate, plus
 * `extra`.
 */
export const COLD_BOUND = { factor: 1.5, extra: 5 } as const;
/** Time by which an endpoint may have started later than its record was seen or it answered, ms. */
export const COLD_START_MARGIN_MS = 300;
/** Time after a failed connection in which an endpoint may be restarting, ms. */
export const UNREACHABLE_MS = 10_000;
/** Weight of a cold endpoint in the choice, and the time in which it rises to 1 afterwards. */
export const SLOW_START = { minWeight: 0.5, durationMs: 4000 } as const;
