/** Final responses created by the entry; "not run" is claimed only if it is certain. */
import type { ServerResponse } from 'node:http';
import {
  ERROR_KINDS,
  MAY_HAVE_RUN_REASONS,
  notRun,
  toProblem,
  outcomeUnknown,
  type Reason,
} from '../../core/errors/index.js';
import type { Metrics } from '../../core/metrics/index.js';

/** A refusal or failure that the entry reports to the caller. */
export interface Refusal {
  readonly reason: Reason;
  /** Cause of the refusal, for the log and the caller. */
  readonly detail: string;
  /** Retry-After, s; undefined for the default of the reason. */
  readonly retryAfterS?: number;
  /** Whether to close the connection, so that the caller's retry reaches another entry. */
  readonly close?: boolean;
}

/**
 * Writes a refusal as the final response; returns false if it can no longer be sent. The caller of this function closes
 * the connection if the refusal asks for it.
 * @example sendRefusal(res, metrics, { reason: 'busy', detail: '8 of 8 slots', retryAfterS: 1 });
 */
export function sendRefusal(res: ServerResponse, metrics: Metrics, refusal: Refusal): boolean {
  const { reason, detail, retryAfterS } = refusal;
  const outcome = MAY_HAVE_RUN_REASONS.has(reason) ? 'unknown' : 'not-run';
  metrics.count('refusals_total', { reason, outcome });
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return false;
  }
  const makeError = outcome === 'unknown' ? outcomeUnknown : notRun;
  const problem = toProblem(makeError(reason, detail, retryAfterS));
  const body = JSON.stringify(problem);
  res.writeHead(ERROR_KINDS[reason].status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(problem.retryAfterS !== undefined && { 'retry-after': problem.retryAfterS.toFixed(2) }),
  });
  res.end(body);
  return true;
}
