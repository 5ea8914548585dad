/** Limits of responses that this process reads whole, and the error of a response that exceeds one. */
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';

/** Limits of the responses to one kind of call. */
export interface ResponseLimits {
  /** Kind of call, for errors and as a metric label. */
  readonly call: string;
  /** Maximum size of a response, bytes as received: head, interim responses, framing, body, trailers. */
  readonly maxBytes: number;
  /** Maximum duration of the whole call, from the request to the last byte of the response, ms. */
  readonly maxMs: number;
}

/** Which limit a response exceeded. */
export type CutReason = 'oversized' | 'too-slow';

/** Error of a call whose response exceeded a limit; its connection is closed. */
export class ResponseLimitError extends Error {
  constructor(
    readonly reason: CutReason,
    readonly call: string,
    readonly origin: string,
    exceeded: string,
  ) {
    super(`${call} of ${origin}: the response ${exceeded}`);
    // The name by which timeouts are recognised.
    this.name = reason === 'too-slow' ? 'TimeoutError' : 'ResponseLimitError';
  }
}

/**
 * Returns a callback that counts and logs responses that were cut off at a limit.
 * @example new ConnectionPools(options, reportCutResponses(log, metrics))
 */
export function reportCutResponses(log: Log, metrics: Metrics): (err: ResponseLimitError) => void {
  return ({ reason, call, origin, message }) => {
    metrics.count('responses_cut_total', { call, reason });
    log.warn('response.cut', { call, reason, origin, detail: message });
  };
}
