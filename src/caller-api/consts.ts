/** Constants of the caller API. */

/** Headers of caller requests and responses, in lower case as Node reports them. */
export const CALLER_HEADERS = {
  deadline: 'harrierglade-deadline',
  priority: 'harrierglade-priority',
  repeatable: 'harrierglade-repeatable',
  requestId: 'harrierglade-request-id',
} as const;

/** Headers of requests to endpoints and of their responses. */
export const ENDPOINT_HEADERS = {
  requestId: 'x-request-id',
  organisation: 'x-organisation',
  priority: 'x-priority',
  resumeAfter: 'last-event-id',
  /** Present if the endpoint did not run the request. */
  notRun: 'x-not-run',
  /** Seconds for which the entry that received this 503 must send the endpoint no requests. */
  rest: 'retry-after',
  /** `1` if the endpoint is leaving. */
  leaving: 'x-leaving',
  /** Requests per second that the endpoint accepts from all entries together. */
  limit: 'x-limit',
} as const;

/** Paths that callers use. */
export const CHAT_PATH = '/v1/chat/completions';
export const MODELS_PATH = '/v1/models';
export const SERVICES_PREFIX = '/services/';

/** Range and default of the priority header; higher goes first. */
export const PRIORITY = { min: 0, max: 9, default: 5 } as const;
/** Longest deadline that a caller may request, ms: an hour. */
export const MAX_DEADLINE_MS = 3_600_000;
/** Expected output tokens where the caller sets no limit. */
export const DEFAULT_OUTPUT_TOKENS = 128;
/** Prompt bytes per token, averaged over the languages that the deployment must serve. */
export const BYTES_PER_TOKEN = 4;
/** Assumed engine time per token, ms, for lack of a measured one. */
export const ASSUMED_TOKEN_MS = 10;
/** Attempts per request, each on another endpoint. */
export const MAX_ATTEMPTS = 3;
/** Latency target, ms; a multiple of it later, a repeatable call is retried on another endpoint. */
export const LATENCY_TARGET_MS = 2000;
/** Longest gap between events of a stream that still meets its latency target, ms. */
export const MAX_EVENT_GAP_MS = 1000;
/** Connections that one endpoint accepts from all entries together. */
export const MAX_ENDPOINT_CONNECTIONS = 768;
/** Assumed concurrency of one endpoint, which does not report its own. */
export const ASSUMED_ENDPOINT_SLOTS = 16;
/** Number of past decisions kept for `harrierglade explain`. */
export const MAX_DECISIONS = 1000;
