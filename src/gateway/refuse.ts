/** Final answers of the entry's own: what they promise must be true. */
import type { ServerResponse } from 'node:http';
import {
  ERROR_KINDS,
  MAY_HAVE_RUN_REASONS,
  notRun,
  toProblem,
  unknown,
  type Reason,
} from '../core/errors/index.js';
import type { Metrics } from '../core/metrics/index.js';

/** A final answer of our own. */
export interface Refusal {
  readonly reason: Reason;
  /** What was seen, for the log and the caller. */
  readonly detail: string;
  /** When to come back, s; undefined for what the reason says. */
  readonly retryAfterS?: number;
  /** Whether the connection is closed, so that the caller comes back to another entry. */
  readonly close?: boolean;
}

/**
 * Writes a final answer of our own; false when the caller is no longer there to get it.
 * @example refuse(res, metrics, { reason: 'busy', detail: '8 of 8 places', retryAfterS: 1 });
 */
export function refuse(res: ServerResponse, metrics: Metrics, refusal: Refusal): boolean {
  const { reason, detail, retryAfterS, close } = refusal;
  const outcome = MAY_HAVE_RUN_REASONS.has(reason) ? 'unknown' : 'not-run';
  metrics.count('refusals_total', { reason, outcome });
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return false;
  }
  const make = outcome === 'unknown' ? unknown : notRun;
  const problem = toProblem(make(reason, detail, retryAfterS));
  const text = JSON.stringify(problem);
  res.writeHead(ERROR_KINDS[reason].status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    ...(problem.retryAfterS !== undefined && { 'retry-after': problem.retryAfterS.toFixed(2) }),
    ...(close && { connection: 'close' }),
  });
  res.end(text);
  return true;
}
