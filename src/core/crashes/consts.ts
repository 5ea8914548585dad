/** Limits and times of crash evidence. */

/**
 * Crashes without a success in between after which a trait is refused, by the share of requests that
 * have it: the more there are, the likelier some of them run at a crash by chance.
 */
export const CRASHES_TO_REFUSE = { rare: 2, common: 3, broad: 4 } as const;

/**
 * Time for which a trait is refused after its last crash, ms. Afterwards requests pass again, and
 * one more crash is enough to refuse it.
 */
export const REFUSAL_MS = 300_000;
/**
 * The same for a broad trait at its first refusal, ms; four times as long after each further crash,
 * up to `REFUSAL_MS`. Refusing it refuses most requests, so no success can show that it is sound.
 */
export const BROAD_REFUSAL_MS = 5000;
export const BROAD_REFUSAL_GROWTH = 4;
/**
 * Refusals end up to this share later at some entries than at others, so that few of them find out
 * at the same time that a trait still crashes endpoints.
 */
export const REFUSAL_JITTER = 0.2;
/** Time for which a crash is remembered, ms. */
export const EVIDENCE_TTL_MS = 2 * REFUSAL_MS;

/** Crashes of endpoints within this time count as one, ms: a rack or data centre was lost. */
export const LOST_TOGETHER_MS = 250;
/** A crashed endpoint is not back sooner, ms; covers the transit of messages from other entries. */
export const MIN_RESTART_MS = 200;
/** A success that clears nothing and is newer by less is a known one, received through another entry, ms. */
export const SAME_SUCCESS_MS = 1000;

/**
 * Maximum number of runs kept: 18 engines of 7 slots that crash at once have 126 requests in
 * flight, a group of 129 ranks some hundreds.
 */
export const MAX_RUNS = 512;
/** Maximum number of traits with a known success. */
export const MAX_CLEARED = 1024;

/** Requests of a service after which the share of those with a trait is known. */
export const MIN_SIGHTINGS = 8;
/** Share of the requests of a service up to which a trait is rare. */
export const RARE_SHARE = 0.1;
/** Share of the requests of a service above which a trait is broad. */
export const BROAD_SHARE = 0.4;
