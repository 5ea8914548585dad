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

/**
 * Time after which a limit that nobody has named again counts as over, ms: its endpoint got nothing that it could have answered.
 * Each entry adds up to a quarter, so that not all of them send again at the same moment.
 */
export const LIMIT_LAPSES_MS = 12_000;
export const LAPSE_SPREAD = 0.25;
/** Time after which others are told anew of a limit that stands, ms. */
export const TELL_AGAIN_MS = 4000;
/** Time after the end of a limit in which an entry's share doubles each second, ms: an endpoint out of need is not met by all at once. */
export const RELEASE_MS = 4000;
/** Requests a second from which that begins, of all entries together, where the limit was lower. */
export const LEAST_RELEASED_PER_S = 1;
/** Time for which an entry that was heard of counts for a sharer, ms. */
export const SHARER_MS = 8000;
/** Time from the first sharer that was heard of until all of them have been, ms. */
export const SHARERS_SETTLE_MS = 3000;
/** Entries that one which does not know the others takes for as many at least: as many as the larger deployments have. */
export const STRANGERS = 48;
