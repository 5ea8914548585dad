/** The table of error kinds: HTTP status, title, message and remedy of each. */

/** Whether the request is certain not to have run, or may have run. */
export type Outcome = 'not-run' | 'unknown';

/** One kind of error. */
export interface ErrorKind {
  /** HTTP status of the response to the caller. */
  readonly status: number;
  readonly title: string;
  /** Builds the message from the details of one occurrence. */
  readonly message: (detail: string) => string;
  /** What the reader should do, as an instruction. */
  readonly remedy: string;
  /** Seconds after which a retry may succeed; absent when it would not. */
  readonly retryAfterS?: number;
}

function kind(
  status: number,
  title: string,
  message: (detail: string) => string,
  remedy: string,
  retryAfterS?: number,
): ErrorKind {
  return { status, title, message, remedy, retryAfterS };
}

const RETRY_LATER = 'Send the request again after the time in Retry-After.';
const RETRY_NOW = 'Send the request again at once; another entry can serve it.';
const CHECK_OUTCOME =
  'Check whether the request ran before you send it again, unless it is safe to run twice.';

/** Every reason for which a daemon refuses; the key is also the `reason` label of the counters. */
export const ERROR_KINDS = {
  'settings-invalid': kind(500, 'Settings are invalid', (f) => f, 'Correct the named settings.'),
  'settings-unreadable': kind(
    500,
    'Settings cannot be read',
    (f) => f,
    'Name a readable JSON file with --settings.',
  ),
  'intent-invalid': kind(
    400,
    'Intent is invalid',
    (f) => f,
    'Correct the named fields of the intent.',
  ),
  'plan-stale': kind(
    409,
    'Plan is based on an old version',
    (f) => f,
    'Make a new plan from the latest version.',
  ),
  'document-invalid': kind(
    400,
    'Configuration document is invalid',
    (f) => f,
    'Correct the named fields and publish a new version.',
  ),
  'document-digest': kind(
    400,
    'Digest does not match the body',
    (f) => f,
    'Publish the document exactly as `harrierglade confirm` wrote it.',
  ),
  'document-raced': kind(
    409,
    'Document is based on an old version',
    (f) => f,
    'Redo the change on the version in force and publish it with basedOn set to the newest version.',
  ),
  'document-old': kind(
    409,
    'Document is not newer',
    (f) => f,
    'Nothing to do: the daemon keeps the version in force.',
  ),
  'no-config': kind(503, 'No configuration yet', (f) => f, RETRY_NOW, 2),
  'proof-old': kind(503, 'Configuration is not confirmed as current', (f) => f, RETRY_NOW),
  stopping: kind(503, 'Entry is stopping', (f) => f, RETRY_NOW, 1),
  'buffers-full': kind(503, 'Entry has no memory for the request', (f) => f, RETRY_LATER, 1),
  busy: kind(503, 'All slots are taken', (f) => f, RETRY_LATER, 1),
  outage: kind(503, 'No endpoint is serving', (f) => f, RETRY_LATER, 2),
  resting: kind(503, 'Endpoints requested a backoff', (f) => f, RETRY_LATER, 2),
  limited: kind(503, 'Endpoints are at their request limit', (f) => f, RETRY_LATER, 1),
  'crashes-endpoints': kind(
    503,
    'Endpoints crashed after starting the request',
    (f) => f,
    'Do not send the same request again; change it, or report it to the operators.',
    300,
  ),
  evacuated: kind(503, 'Endpoints are evacuated', (f) => f, RETRY_LATER, 2),
  'no-endpoint': kind(503, 'No endpoint can accept the request', (f) => f, RETRY_LATER, 2),
  'not-run': kind(503, 'No endpoint ran the request', (f) => f, RETRY_LATER, 1),
  'id-missing': kind(400, 'No request id', (f) => f, 'Send a unique id with each request.'),
  'route-unknown': kind(
    404,
    'No such route',
    (f) => f,
    'Check host and path, or ask the operators for the route.',
  ),
  'key-unknown': kind(
    401,
    'No or unknown bearer key',
    (f) => f,
    'Send the key of your organisation as Authorization: Bearer, or ask the operators to publish it.',
  ),
  'answer-lost': kind(502, 'Response was lost', (f) => f, CHECK_OUTCOME),
  'time-over': kind(504, 'No response in time', (f) => f, CHECK_OUTCOME),
  'model-unknown': kind(
    404,
    'Unknown model',
    (f) => `No model ${f} is configured.`,
    'Name one of the models that GET /v1/models lists.',
  ),
  'body-invalid': kind(
    400,
    'Body is not valid',
    (f) => f,
    'Send a JSON object with model and messages.',
  ),
  'body-cut': kind(
    400,
    'Body was cut short',
    () => 'The body ended before its announced length.',
    'Send the whole body.',
  ),
  'body-late': kind(
    408,
    'Body arrived too slowly',
    (f) => f,
    'Send the body within the time limit.',
  ),
  'body-malformed': kind(
    400,
    'Body violates HTTP',
    (f) => f,
    'Send a body with valid chunks or a Content-Length.',
  ),
  'trailers-large': kind(
    431,
    'Trailers are too large',
    (f) => f,
    'Send smaller trailers, or none.',
  ),
  'body-large': kind(413, 'Body is too large', (f) => f, 'Send a smaller body.'),
  'header-invalid': kind(400, 'Header is not valid', (f) => f, 'Correct the named header.'),
  'streams-exceeded': kind(
    429,
    'Too many open requests',
    (f) => f,
    'Wait for open requests to end before sending more.',
    1,
  ),
  'share-exceeded': kind(429, 'Organisation exceeds its share', (f) => f, RETRY_LATER, 1),
  sacrificed: kind(
    503,
    'Sacrificed for an event',
    (f) => f,
    'Send the request again after the event, at the time in Retry-After.',
    30,
  ),
  'deadline-unreachable': kind(
    503,
    'Deadline cannot be met',
    (f) => f,
    'Send the request again after the time in Retry-After, or allow a longer deadline.',
    1,
  ),
  'deadline-passed': kind(504, 'Deadline has passed', (f) => f, 'Allow a longer deadline.'),
  'retry-budget': kind(503, 'Retry budget is exhausted', (f) => f, RETRY_LATER, 2),
} satisfies Record<string, ErrorKind>;

/** Key of an error kind. */
export type Reason = keyof typeof ERROR_KINDS;

/** Reasons after which a request may have run; all others guarantee that it did not and will not. */
export const MAY_HAVE_RUN_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  'answer-lost',
  'time-over',
]);
