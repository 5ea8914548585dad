/** Constants of the gateway. */

/** Timeout of opening a connection to an endpoint, ms. */
export const CONNECT_MS = 400;
/** Idle timeout of a connection to an endpoint that names none itself, ms. */
export const IDLE_CONNECTION_MS = 4000;
/** Time after which no further endpoint's relays are asked for a token, ms: a caller is refused early rather than late. */
export const MAX_TOKEN_WAIT_MS = 100;
/** Maximum number of connections from one entry to one endpoint. */
export const MAX_CONNECTIONS = 32;
/** Number of entries assumed to share an endpoint's connections. */
export const CONNECTION_SHARERS = 12;

/** Deadline of requests that name none, ms. */
export const DEFAULT_DEADLINE_MS = 60_000;
/** Time kept free before the deadline for writing the final answer, ms. */
export const FINAL_ANSWER_MS = 20;
/** Remaining time below which no further attempt is made, ms. */
export const MIN_ATTEMPT_MS = 60;
/** Multiple of the target latency after which a repeatable request is retried elsewhere. */
export const SILENCE_FACTOR = 1.3;
/** Idle timeout of a stream before it is resumed on another endpoint, ms; below the callers' own 2 s. */
export const STREAM_SILENCE_MS = 1250;
/** Open connections to an endpoint that has been silent this long are not reused, ms: they may be half-open. */
export const SILENT_CONNECTION_MS = 250;
/** Largest answer that is not streamed, bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Safety margin of the time for which keys are honoured without a new proof, ms: covers a watch that was silent before its
 * history was dropped, and requests under way.
 */
export const KEY_PROOF_MARGIN_MS = 1500;

/** Retry-After range when saturated, s; randomised to spread retries. */
export const BUSY_RETRY_S = { least: 1.0, most: 2.5 } as const;
/**
 * Retry-After range while no endpoint of a group serves, s: a group that lost a rank is back after seconds, and callers wait for
 * a third of their remaining time at most.
 */
export const OUTAGE_RETRY_S = { least: 2.1, most: 2.6 } as const;

/** Random addition to Retry-After while all endpoints are in backoff, s; spreads retries. */
export const REST_RETRY_SPREAD_S = 0.5;

/** Retry-After if another entry can serve at once, s. */
export const ELSEWHERE_RETRY_S = 0.05;

/** Number of entries assumed to share the retry allowance until a group tells how many there are. */
export const RETRY_SHARERS = 48;
/** Part of the shared retry ratio that is used; the rest covers windows that do not align. */
export const RETRY_SHARE_USED = 0.7;

/** Time after SIGTERM in which new requests are served, ms; the balancer removes the entry meanwhile. */
export const STOP_SERVING_MS = 2500;
/** Time before SIGKILL at which requests under way are aborted, ms. */
export const STOP_CUT_MS = 700;
/** Polling period of a stopping entry, ms. */
export const STOP_POLL_MS = 50;
