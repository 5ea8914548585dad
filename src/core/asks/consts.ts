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
