/** The one table of error kinds: what went wrong, whether it ran, and what helps. */

/** What a refusal says about the request: it did not run, or nobody can say. */
export type Outcome = 'not-run' | 'unknown';

/** One row of the table. */
export interface ErrorKind {
  /** HTTP status towards the caller. */
  readonly status: number;
  readonly title: string;
  /** What happened, from the facts at hand. */
  readonly message: (facts: string) => string;
  /** The remedy, an order to whoever reads it. */
  readonly hint: string;
  /** Seconds after which coming back may help; absent when it does not. */
  readonly retryAfterS?: number;
}

function kind(
  status: number,
  title: string,
  message: (facts: string) => string,
  hint: string,
  retryAfterS?: number,
): ErrorKind {
  return { status, title, message, hint, retryAfterS };
}

const AGAIN_LATER = 'Send the request again after the time in Retry-After.';
const ELSEWHERE = 'Send the request again at once; another entry takes it.';
const MAY_HAVE_RUN = 'Find out whether it ran before you send it again, unless it may run twice.';

/** Every reason that a daemon gives; the name is the `reason` label of the counters. */
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
    'Plan rests on an old version',
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
    'Document was made from an old version',
    (f) => f,
    'Make the change again from the version in force and publish it with basedOn set to the newest version.',
  ),
  'document-old': kind(
    409,
    'Document is not newer',
    (f) => f,
    'Nothing to do: the daemon keeps the version in force.',
  ),
  'no-config': kind(503, 'No configuration yet', (f) => f, ELSEWHERE, 2),
  'proof-old': kind(503, 'Configuration is not proved to be the newest', (f) => f, ELSEWHERE),
  stopping: kind(503, 'Entry is stopping', (f) => f, ELSEWHERE, 1),
  busy: kind(503, 'All places are taken', (f) => f, AGAIN_LATER, 1),
  outage: kind(503, 'No endpoint serves', (f) => f, AGAIN_LATER, 2),
  resting: kind(503, 'Endpoints asked for rest', (f) => f, AGAIN_LATER, 2),
  limited: kind(503, 'Endpoints take no more requests now', (f) => f, AGAIN_LATER, 1),
  'crashes-endpoints': kind(
    503,
    'Endpoints that began to run it crashed',
    (f) => f,
    'Do not send the same request again; change what it asks for, or tell the operators.',
    300,
  ),
  'no-endpoint': kind(503, 'No endpoint can take it', (f) => f, AGAIN_LATER, 2),
  'not-run': kind(503, 'No endpoint ran it', (f) => f, AGAIN_LATER, 1),
  'id-missing': kind(400, 'No request id', (f) => f, 'Send an id of its own with each request.'),
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
  'answer-lost': kind(502, 'Answer was lost on the way', (f) => f, MAY_HAVE_RUN),
  'time-over': kind(504, 'Not answered in time', (f) => f, MAY_HAVE_RUN),
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
  'body-late': kind(408, 'Body came too slowly', (f) => f, 'Send the body within the time limit.'),
  'body-large': kind(413, 'Body is too large', (f) => f, 'Send a smaller body.'),
  'header-invalid': kind(400, 'Header is not valid', (f) => f, 'Correct the named header.'),
  'streams-exceeded': kind(
    429,
    'Too many open requests',
    (f) => f,
    'Wait for open requests to end before sending more.',
    1,
  ),
  'share-exceeded': kind(429, 'Organisation is over its share', (f) => f, AGAIN_LATER, 1),
  sacrificed: kind(
    503,
    'Given up for an event',
    (f) => f,
    'Come back after the event, at the time in Retry-After.',
    30,
  ),
  'deadline-unreachable': kind(
    503,
    'Cannot finish in time',
    (f) => f,
    'Come back after the time in Retry-After, or allow a longer deadline.',
    1,
  ),
  'deadline-passed': kind(504, 'Deadline has passed', (f) => f, 'Allow a longer deadline.'),
  'retry-budget': kind(503, 'Retry budget is spent', (f) => f, AGAIN_LATER, 2),
} satisfies Record<string, ErrorKind>;

/** Name of a row. */
export type Reason = keyof typeof ERROR_KINDS;

/** Reasons after which a request may have run; every other one promises that it never will. */
export const MAY_HAVE_RUN_REASONS: ReadonlySet<Reason> = new Set<Reason>([
  'answer-lost',
  'time-over',
]);
