/** Typed errors made from the table of kinds. */
import { ERROR_KINDS, type ErrorKind, type Outcome, type Reason } from './kinds.js';

/** An error of one kind, with what is known about the request it ends. */
export class HarriergladeError extends Error {
  constructor(
    readonly reason: Reason,
    readonly facts: string,
    readonly outcome: Outcome,
    readonly retryAfterS?: number,
  ) {
    const row: ErrorKind = ERROR_KINDS[reason];
    super(`${row.title}: ${row.message(facts)} ${row.hint}`);
    this.name = 'HarriergladeError';
  }
}

/**
 * An error for a request that truly did not run.
 * @example notRun('model-unknown', 'gpt-0').outcome // 'not-run'
 */
export function notRun(reason: Reason, facts = '', retryAfterS?: number): HarriergladeError {
  return new HarriergladeError(reason, facts, 'not-run', retryAfterS);
}

/**
 * An error for a request that may have run.
 * @example unknown('answer-lost', 'connection reset').outcome // 'unknown'
 */
export function unknown(reason: Reason, facts = '', retryAfterS?: number): HarriergladeError {
  return new HarriergladeError(reason, facts, 'unknown', retryAfterS);
}

/** Body of a refusal, RFC 9457 with the members that harrierglade adds. */
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
 * The caller's view of an error.
 * @example toProblem(notRun('stopping')).status // 503
 */
export function toProblem(err: HarriergladeError): Problem {
  const row: ErrorKind = ERROR_KINDS[err.reason];
  return {
    type: `urn:harrierglade:${err.reason}`,
    title: row.title,
    status: row.status,
    detail: row.message(err.facts),
    reason: err.reason,
    remedy: row.hint,
    outcome: err.outcome,
    retryAfterS: err.retryAfterS ?? row.retryAfterS,
  };
}

/** Codes of a call whose answer did not come, or did not come to its end, in time. */
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/**
 * Whether something was thrown because its time was over, also where it stands behind another error.
 * @example isTimeout(AbortSignal.timeout(5).reason) // true, 5 ms later
 */
export function isTimeout(err: unknown): boolean {
  if (!(err instanceof Error)) return false;
  const { code } = err as NodeJS.ErrnoException;
  return err.name === 'TimeoutError' || TIMEOUT_CODES.has(code ?? '') || isTimeout(err.cause);
}

/**
 * Whether a call was ended by whoever made it: its time was over, or its signal aborted without a reason of its own.
 * @example isGivenUp(AbortSignal.abort().reason) // true
 */
export function isGivenUp(err: unknown): boolean {
  if (!(err instanceof Error)) return false;
  return err.name === 'AbortError' || isTimeout(err) || isGivenUp(err.cause);
}

/**
 * Text of anything thrown, for logs.
 * @example errorText(new Error('reset')) // 'reset'
 */
export function errorText(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const code = (err as NodeJS.ErrnoException).code;
  return code ? `${code} ${err.message}` : err.message;
}
