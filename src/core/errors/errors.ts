/** Typed errors built from the table of error kinds. */
import { ERROR_KINDS, type ErrorKind, type Outcome, type Reason } from './kinds.js';

/** An error of one kind, with details and the outcome of the request that it ends. */
export class HarriergladeError extends Error {
  constructor(
    readonly reason: Reason,
    readonly detail: string,
    readonly outcome: Outcome,
    readonly retryAfterS?: number,
  ) {
    const kind: ErrorKind = ERROR_KINDS[reason];
    super(`${kind.title}: ${kind.message(detail)} ${kind.remedy}`);
    this.name = 'HarriergladeError';
  }
}

/**
 * Creates an error for a request that is certain not to have run.
 * @example notRun('model-unknown', 'gpt-0').outcome // 'not-run'
 */
export function notRun(reason: Reason, detail = '', retryAfterS?: number): HarriergladeError {
  return new HarriergladeError(reason, detail, 'not-run', retryAfterS);
}

/**
 * Creates an error for a request that may have run.
 * @example outcomeUnknown('answer-lost', 'connection reset').outcome // 'unknown'
 */
export function outcomeUnknown(
  reason: Reason,
  detail = '',
  retryAfterS?: number,
): HarriergladeError {
  return new HarriergladeError(reason, detail, 'unknown', retryAfterS);
}

/** Body of an error response: RFC 9457 problem details with extension members. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly reason: Reason;
  readonly remedy: string;
  readonly outcome: Outcome;
  readonly retryAfterS?: number;
}

/**
 * Converts an error to the problem details sent to the caller.
 * @example toProblem(notRun('stopping')).status // 503
 */
export function toProblem(err: HarriergladeError): Problem {
  const kind: ErrorKind = ERROR_KINDS[err.reason];
  return {
    type: `urn:harrierglade:${err.reason}`,
    title: kind.title,
    status: kind.status,
    detail: kind.message(err.detail),
    reason: err.reason,
    remedy: kind.remedy,
    outcome: err.outcome,
    retryAfterS: err.retryAfterS ?? kind.retryAfterS,
  };
}

/** Codes of undici errors for a response whose headers or body did not arrive in time. */
const TIMEOUT_ERROR_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/**
 * Whether an error, or one in its chain of causes, is a timeout.
 * @example isTimeout(AbortSignal.timeout(5).reason) // true, 5 ms later
 */
export function isTimeout(err: unknown): boolean {
  if (!(err instanceof Error)) return false;
  const { code } = err as NodeJS.ErrnoException;
  return err.name === 'TimeoutError' || TIMEOUT_ERROR_CODES.has(code ?? '') || isTimeout(err.cause);
}

/**
 * Whether the caller ended the call: by a timeout, or by aborting its signal without a custom reason.
 * @example isAbortOrTimeout(AbortSignal.abort().reason) // true
 */
export function isAbortOrTimeout(err: unknown): boolean {
  if (!(err instanceof Error)) return false;
  return err.name === 'AbortError' || isTimeout(err) || isAbortOrTimeout(err.cause);
}

/**
 * Formats any thrown value for logs.
 * @example errorText(new Error('reset')) // 'reset'
 */
export function errorText(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const code = (err as NodeJS.ErrnoException).code;
  return code ? `${code} ${err.message}` : err.message;
}
