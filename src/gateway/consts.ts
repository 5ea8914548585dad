/** Constants of the gateway. */

/** Time to open a connection to an endpoint, ms: the way is 3 ms there and back at most. */
export const CONNECT_MS = 400;
/** Idle time after which a connection to an endpoint is closed where the endpoint names none, ms. */
export const IDLE_CONNECTION_MS = 4000;
/** Connections to one endpoint from one entry, at most; more would only queue at the endpoint. */
export const MOST_CONNECTIONS = 32;
/** Entries among which an endpoint's connections are shared, at least: the smallest sites have 6. */
export const CONNECTION_SHARERS = 12;

/** Time that a caller without a deadline of its own is given, ms. */
export const DEFAULT_DEADLINE_MS = 60_000;
/** Room left for the last answer before the route's time or the deadline is over, ms. */
export const FINAL_ANSWER_MS = 20;
/** Time left below which another attempt cannot help any more, ms. */
export const LEAST_ATTEMPT_MS = 60;
/** Part of the target after which a repeatable request is asked for elsewhere. */
export const SILENCE_FACTOR = 1.3;
/**
 * A stream that brings no event for this long is taken up elsewhere, ms. Callers give up after 2 s, and
 * a group in which a rank died stands still for 1.5 s.
 */
export const STREAM_SILENCE_MS = 1250;
/**
 * Silence of an endpoint from which the connections that are open to it are not used any more, ms: they may all have fallen
 * silent without a reset, and each would cost another caller the answer (four of five who came at once, after a first one).
 * An endpoint that is only slow, 90 ms of work four times over, costs new connections then.
 */
export const SILENT_CONNECTION_MS = 250;
/** Largest answer that is not streamed, bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Taken off the time that keys may be honoured without a new proof, ms: a wait for changes may have
 * heard nothing for a second before its history was dropped, and a request is on its way for a while.
 */
export const KEY_PROOF_MARGIN_MS = 1500;

/** Retry-After of a refusal for want of room, s, lower and upper end: spreads those who return. */
export const BUSY_RETRY_S = { least: 1.0, most: 2.5 } as const;
/**
 * Retry-After of a refusal while no endpoint of a group serves, s: a group that has lost a rank is back
 * after seconds, and callers wait for a third of the time they have left at most, 2.6 s.
 */
export const OUTAGE_RETRY_S = { least: 2.1, most: 2.6 } as const;

/** Time beyond the end of the first rest after which those who were refused for it may come back, s: spreads them. */
export const REST_RETRY_SPREAD_S = 0.5;

/** Retry-After where another entry can serve at once, s. */
export const ELSEWHERE_RETRY_S = 0.05;

/** Entries among which the shared retry allowance is split at least: before a group tells how many there are. */
export const RETRY_SHARERS = 48;
/** Part of the shared retry ratio that an entry uses: the rest covers windows that do not align. */
export const RETRY_SHARE_USED = 0.7;

/** After the signal to stop, new requests are served for this long, ms: callers are sent elsewhere by then. */
export const STOP_SERVING_MS = 2500;
/** Time before the kill at which what still runs is cut, ms. */
export const STOP_CUT_MS = 700;
/** How often a stopping entry looks whether it is done, ms. */
export const STOP_POLL_MS = 50;
