/** Constants of backoff and rate limits. */

/** Upper bound on an accepted Retry-After, ms. */
export const MAX_BACKOFF_MS = 3_600_000;

/** Random addition to a backoff: a share of it, up to so many ms. Spreads entries that were turned away together. */
export const BACKOFF_JITTER = { share: 0.2, maxMs: 1000 } as const;

/** Time within which a probe after a backoff is likely to be answered, ms. */
export const PROBE_MS = 500;

/** Requests that an endpoint may get from all entries in any window: `factor` times what its limit allows, and `extra`. */
export const LIMIT_BOUND = { windowMs: 4000, factor: 1.5, extra: 5 } as const;
/** Part of the bound that is handed out; the rest covers requests that are under way. */
export const TARGET_UTILISATION = 0.9;

/** Limits of endpoints that are no longer listed are dropped this long after they were last named, ms. */
export const UNLISTED_MS = 60_000;
/** Period in which a limit that stands is announced again, ms. */
export const ANNOUNCE_MS = 4000;
/** Ramp after the end of a limit in which the rate doubles each second, ms. */
export const RELEASE_MS = 4000;
/** Rate of all entries together at which the ramp starts, requests/s, if the limit was lower. */
export const MIN_RELEASED_PER_S = 1;
/** Rate of all entries together to an endpoint whose limit is lower, requests/s: only its answers tell when the limit ends. */
export const MIN_PROBE_PER_S = 0.1;

/** Relays that grant tokens of one endpoint. */
export const MAX_SHARDS = 3;
/** Requests for tokens that a relay aims at, per token that it grants. */
export const ASKS_PER_TOKEN = 4;
/** Longest pause of an entry for the sake of others, ms. */
export const MAX_SPACING_MS = 20_000;
/** Entries that have not asked a relay for this long do not compete for its tokens, ms. */
export const COMPETITOR_MS = 10_000;
/** Timeout of a request for a token, ms; a caller waits meanwhile. */
export const TOKEN_TIMEOUT_MS = 100;
/** Shortest pause after a denial, ms. */
export const MIN_RETRY_MS = 5;
/** Pause before a relay that did not answer is asked again, ms; up to twice as long at random. */
export const UNREACHABLE_RETRY_MS = 1000;
/** Maximum number of concurrent requests for tokens of one endpoint at an entry. */
export const MAX_PENDING = 8;
/** Pause while that many are under way, ms. */
export const PENDING_RETRY_MS = 10;

/** Number of entries assumed while fewer are known. */
export const ASSUMED_PEERS = 48;
/** Part of a limit that isolated entries use together if there are as many as assumed. */
export const ISOLATED_SHARE = 0.5;
