/** Constants of what endpoints ask for. */

/** Longest rest that is taken for meant, ms: one without an end would leave an endpoint out until it starts again. */
export const MOST_REST_MS = 3_600_000;

/**
 * How much longer than asked an entry rests at most, drawn anew each time: a share of the rest, up to so many ms. Entries that
 * were turned away together do not all come back at the same moment.
 */
export const REST_SPREAD = { share: 0.2, mostMs: 1000 } as const;

/** Time after which an endpoint that is tried after a rest is likely to have answered, ms. */
export const TRIAL_MS = 500;

/**
 * What all entries together may send to an endpoint with a limit, as the platform's operators state it: in any window, so many times
 * what the limit allows in it, and so many requests beyond that.
 */
export const LIMIT_BOUND = { windowMs: 4000, factor: 1.5, extra: 5 } as const;
/** Part of that which is shared out: the rest is for entries whose views of one another differ. */
export const USED_SHARE = 0.9;

/** Limits of endpoints that left the list are dropped this long after they were last named, ms. */
export const UNLISTED_MS = 60_000;
/** Time after which others are told anew of a limit that stands, ms. */
export const TELL_AGAIN_MS = 4000;
/** Time after the end of a limit in which an entry's share doubles each second, ms: an endpoint out of need is not met by all at once. */
export const RELEASE_MS = 4000;
/** Requests a second from which that begins, of all entries together, where the limit was lower. */
export const LEAST_RELEASED_PER_S = 1;
/** Entries assumed while fewer are known. */
export const ASSUMED_PEERS = 48;
/** Part of a limit that entries without a relay use together if there are as many as assumed. */
export const ISOLATED_SHARE = 0.5;

/** Requests/s of all entries together to an endpoint whose limit is lower: its answers tell when the limit ends. */
export const MIN_PROBE_PER_S = 0.1;
/** Relays that grant tokens of one endpoint. */
export const MAX_SHARDS = 3;
/** Entries that have not asked a relay for this long do not compete for its tokens, ms. */
export const ASKERS_MS = 10_000;
/** Requests for tokens that a relay aims at, per token that it grants. */
export const ASKS_PER_TOKEN = 4;
/** Time for a relay to answer a request for a token, ms; the caller waits meanwhile. */
export const TOKEN_ASK_MS = 100;
/** Shortest pause after a denial, ms. */
export const MIN_RETRY_MS = 5;
/** Pause before a relay that did not answer is asked again, ms; up to twice as long at random. */
export const UNREACHABLE_RETRY_MS = 1000;
/** Requests for tokens of one endpoint that an entry has under way at most. */
export const MAX_PENDING_ASKS = 8;
/** Pause of those that come while so many are under way, ms. */
export const PENDING_RETRY_MS = 10;
