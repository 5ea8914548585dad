/** Constants of the callers' interface. */

/** Headers of callers; lower case, as Node gives them. */
export const CALLER_HEADER = {
  deadline: 'harrierglade-deadline',
  priority: 'harrierglade-priority',
  repeatable: 'harrierglade-repeatable',
  requestId: 'harrierglade-request-id',
} as const;

/** Headers towards endpoints and of their answers. */
export const ENDPOINT_HEADER = {
  requestId: 'x-request-id',
  organisation: 'x-organisation',
  priority: 'x-priority',
  resumeAfter: 'last-event-id',
  /** Present when the endpoint says that the request has not run. */
  notRun: 'x-not-run',
  /** Seconds for which an endpoint that answers 503 wants nothing from the entry that it answers. */
  rest: 'retry-after',
  /** `1` where the endpoint leaves. */
  leaving: 'x-leaving',
  /** Requests a second that the endpoint takes from all entries together. */
  limit: 'x-limit',
} as const;

/** Paths that callers use. */
export const CHAT_PATH = '/v1/chat/completions';
export const MODELS_PATH = '/v1/models';
export const SERVICES_PREFIX = '/services/';

/** Priorities that callers may name; higher goes first. */
export const PRIORITY = { least: 0, most: 9, usual: 5 } as const;
/** Longest deadline that a caller may name, ms: an hour. */
export const MAX_DEADLINE_MS = 3_600_000;
/** Tokens expected of an answer whose caller names no limit. */
export const DEFAULT_OUTPUT_TOKENS = 128;
/** Bytes of a prompt that make a token, on the average of the brief's languages. */
export const BYTES_PER_TOKEN = 4;
/** Time that an engine takes for a token while nothing more is known of it, ms. */
export const TOKEN_MS = 10;
/** Endpoints that one request may be sent to. */
export const MAX_ATTEMPTS = 3;
/** Time after which a repeatable call without an answer is asked for elsewhere, ms. */
export const TARGET_MS = 2000;
/** Longest pause between the events of a stream that is still in time, ms. */
export const GAP_MS = 1000;
/** Connections that one endpoint takes from all entries together. */
export const MAX_CONNECTIONS = 768;
/** Requests that one endpoint is taken to work on at once; it does not tell. */
export const ENDPOINT_SLOTS = 16;
/** Decisions kept for `harrierglade explain`. */
export const KEPT_DECISIONS = 1000;
