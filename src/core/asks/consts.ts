/** Constants of what endpoints ask for. */

/** Longest rest that is taken for meant, ms: one without an end would leave an endpoint out until it starts again. */
export const MOST_REST_MS = 3_600_000;
