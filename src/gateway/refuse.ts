/** Final answers of the entry's own: what they promise must be true. */
import type { ServerResponse } from 'node:http';
import type { Metrics } from '../core/metrics/index.js';

/** Why a request ended with an answer of our own. `not-run` reasons promise that it never will. */
export const REFUSALS = {
  'no-config': { status: 503, notRun: true },
  'proof-old': { status: 503, notRun: true },
  stopping: { status: 503, notRun: true },
  busy: { status: 503, notRun: true },
  outage: { status: 503, notRun: true },
  'no-endpoint': { status: 503, notRun: true },
  'not-run': { status: 503, notRun: true },
  'retry-budget': { status: 503, notRun: true },
  'body-late': { status: 408, notRun: true },
  'host-missing': { status: 400, notRun: true },
  'id-missing': { status: 400, notRun: true },
  'header-invalid': { status: 400, notRun: true },
  'route-unknown': { status: 404, notRun: true },
  'key-unknown': { status: 401, notRun: true },
  'body-large': { status: 413, notRun: true },
  'answer-lost': { status: 502, notRun: false },
  'time-over': { status: 504, notRun: false },
} as const;

/** Name of a final answer of our own; a label of the counters. */
export type RefusalReason = keyof typeof REFUSALS;

/** A final answer of our own. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** What was seen, for the log. */
  readonly detail: string;
  /** When to come back, s; undefined where coming back does not help. */
  readonly retryAfterS?: number;
  /** Whether the connection is closed, so that the caller comes back to another entry. */
  readonly close?: boolean;
}

function asText(refusal: Refusal): { type: string; text: string } {
  return { type: 'text/plain', text: `${refusal.reason}: ${refusal.detail}\n` };
}

/**
 * Writes a final answer of our own; false when the caller is no longer there to get it.
 * @example refuse(res, metrics, { reason: 'busy', detail: '8 of 8 places', retryAfterS: 1 });
 */
export function refuse(
  res: ServerResponse,
  metrics: Metrics,
  refusal: Refusal,
  describe = asText,
): boolean {
  metrics.count('refusals_total', { reason: refusal.reason });
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return false;
  }
  const { status } = REFUSALS[refusal.reason];
  const { type, text } = describe(refusal);
  res.writeHead(status, {
    'content-type': type,
    'content-length': Buffer.byteLength(text),
    ...(refusal.retryAfterS !== undefined && { 'retry-after': refusal.retryAfterS.toFixed(2) }),
    ...(refusal.close && { connection: 'close' }),
  });
  res.end(text);
  return true;
}
