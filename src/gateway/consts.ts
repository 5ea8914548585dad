/** Timeouts, limits and retry delays of the gateway. */

/** Timeout of opening a connection to an endpoint, ms. */
export const CONNECT_TIMEOUT_MS = 400;
/** Idle timeout of a connection to an endpoint that names none itself, ms. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4000;
/**
 * Time for which requests that wait for a connection to a leaving endpoint are still sent, ms; no deployment lets them
 * reach it later than 2 s after it left.
 */
export const LEAVING_SEND_MS = 1700;
/** Time after which no further rate-limit token is requested, ms; refuses callers early. */
export const MAX_TOKEN_WAIT_MS = 100;
/** Maximum number of connections from one entry to one endpoint. */
export const MAX_CONNECTIONS = 32;
/** Number of entries assumed to connect to the same endpoint. */
export const ASSUMED_CONNECTION_PEERS = 12;

/** Deadline of requests that name none, ms. */
export const DEFAULT_DEADLINE_MS = 60_000;
/** Time reserved before the deadline for writing the final response, ms. */
export const FINAL_RESPONSE_MARGIN_MS = 20;
/** Remaining time below which no further attempt is made, ms. */
export const MIN_ATTEMPT_TIME_MS = 60;
/** Multiple of the target latency after which a repeatable request is retried elsewhere. */
export const RETRY_TIMEOUT_FACTOR = 1.3;
/** Idle timeout before a stream is resumed on another endpoint, ms; callers time out after 2 s. */
export const STREAM_IDLE_TIMEOUT_MS = 1250;
/** Stall after which open connections to an endpoint are not reused, ms: may be half-open. */
export const STALLED_CONNECTION_MS = 250;
/** Maximum size of a response that is not streamed, bytes. */
export const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Rate at which the connections to one endpoint are read; what exceeds it waits in their sockets. */
export const ENDPOINT_READ_RATE = { burstBytes: 1024 * 1024, bytesPerMs: 64 * 1024 } as const;
/** Maximum size of an event of a stream, bytes; an event may carry all tokens of a response. */
export const MAX_EVENT_BYTES = 256 * 1024;
/** Maximum size of the head of a response and the interim responses before it, bytes. */
export const MAX_RESPONSE_HEAD_BYTES = 16 * 1024;
/** Maximum size of chunk headers and trailers without a part of the body between them, bytes. */
export const MAX_FRAMING_BYTES = 32 * 1024;
/** Maximum number of bytes of chunk headers for each byte of a body: a chunk of one byte has five. */
export const MAX_FRAMING_PER_BODY_BYTE = 8;
/** Maximum size of a response body that is read only to keep its connection, bytes. */
export const MAX_DISCARDED_BYTES = 64 * 1024;
/** Timeout of reading such a body, ms. */
export const MAX_DISCARD_MS = 100;

/**
 * Safety margin of the time for which keys are accepted without a new freshness check, ms: covers a
 * watch that stalled before its history was dropped, and requests in flight.
 */
export const KEY_FRESHNESS_MARGIN_MS = 1500;

/** Retry-After range when saturated, s; randomised to spread retries. */
export const BUSY_RETRY_S = { min: 1.0, max: 2.5 } as const;
/**
 * Retry-After range while no endpoint of a group is available, s: a group that lost a rank recovers
 * within seconds, and callers wait for at most a third of their remaining time.
 */
export const OUTAGE_RETRY_S = { min: 2.1, max: 2.6 } as const;

/** Maximum jitter added to Retry-After while all endpoints are backing off, s; spreads retries. */
export const BACKOFF_RETRY_JITTER_S = 0.5;

/** Retry-After if another entry can serve the request immediately, s. */
export const OTHER_ENTRY_RETRY_S = 0.05;

/** Minimum number of entries assumed to share the retry budget; a group may report more. */
export const ASSUMED_RETRY_PEERS = 48;
/** Fraction of the retry share that is used; the rest covers unaligned windows of the entries. */
export const RETRY_SHARE_USED = 0.7;

/**
 * Time after SIGTERM in which new requests are served, ms; meanwhile the platform's balancer removes
 * the entry.
 */
export const STOP_SERVING_MS = 2500;
/** Time before SIGKILL at which requests in flight are aborted, ms. */
export const STOP_ABORT_MS = 700;
/** Polling period of a stopping entry, ms. */
export const STOP_POLL_MS = 50;

/** Time for which the rest of a refused body is read, ms. */
export const MAX_REFUSED_BODY_MS = 2000;
/** Bytes of a refused body that are read while no configuration names a limit. */
export const DEFAULT_REFUSED_BODY_BYTES = 1024 * 1024;
