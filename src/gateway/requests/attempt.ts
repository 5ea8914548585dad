/** One attempt at an endpoint: sends the request and checks the response headers. */
import type { Dispatcher } from 'undici';
import { errorText } from '../../core/errors/index.js';
import { Err, Ok, type Result } from '../../core/result/index.js';
import { wasNotSent, withStartCallback } from '../endpoints/connect.js';
import { STALLED_CONNECTION_MS } from '../consts.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import type { ResponseHead, AttemptFault, GatewayRequest, CallerApi } from '../types.js';

/** A response whose headers have been checked; its body has yet to be read. */
export interface AttemptResponse {
  readonly head: ResponseHead;
  readonly body: Dispatcher.ResponseData['body'];
  /** Closes the connection: late bytes on it must not be taken for another response. */
  readonly close: () => void;
  /** Closes the connection after a stall; other open connections to the endpoint may be dead too. */
  readonly closeStalled: (stalledMs: number) => void;
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly callers: CallerApi;
  readonly request: GatewayRequest;
  readonly target: EndpointState;
  /** Remaining time, ms. */
  readonly remainingMs: number;
  readonly resumeAfter: number | undefined;
  /** Timeout of the response headers, ms. */
  readonly responseTimeoutMs: number;
  /** Called with the response headers before they are checked. */
  readonly onHead: (head: ResponseHead) => void;
}

function attemptFault(kind: AttemptFault['kind'], detail: string): Result<never, AttemptFault> {
  return Err({ kind, detail });
}

/** Checks the response headers before any byte of the body is used. */
function checkHead(
  head: ResponseHead,
  request: GatewayRequest,
  close: () => void,
): AttemptFault | undefined {
  const { backoffMs } = head.asks;
  if (head.isNotRun && backoffMs !== undefined)
    return {
      kind: 'resting',
      detail: `endpoint answered ${head.status}, backoff of ${backoffMs} ms`,
    };
  if (head.isNotRun) return { kind: 'not-run', detail: `endpoint answered ${head.status}` };
  if (head.requestId !== undefined && head.requestId !== request.id) {
    close();
    return { kind: 'broke', detail: 'the response belongs to another request' };
  }
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess && (!head.isSigned || head.isEncoded || head.requestId === undefined)) {
    close();
    return {
      kind: 'broke',
      detail: 'the response is unsigned, lacks a request id, or has a content encoding',
    };
  }
  return undefined;
}

function upstreamPathOf(callerApi: CallerApi, request: GatewayRequest): string {
  const url = request.req.url ?? '/';
  return callerApi.upstreamPath?.(url) ?? url;
}

/**
 * Sends one attempt. The error kind tells whether the request may have run.
 * @example const response = await sendAttempt(options); if (response.ok) await relay(response.val);
 */
export async function sendAttempt(
  options: AttemptOptions,
): Promise<Result<AttemptResponse, AttemptFault>> {
  const { callers: callerApi, request, target } = options;
  const abortController = new AbortController();
  const close = (): void => abortController.abort();
  const onDisconnect = (): void => abortController.abort();
  request.gone.addEventListener('abort', onDisconnect, { once: true });
  const pool = target.connections.current;
  const closeStalled = (stalledMs: number): void => {
    close();
    if (stalledMs >= STALLED_CONNECTION_MS) target.connections.replace(pool);
  };
  let hasTimedOut = false;
  const timer = setTimeout(() => {
    hasTimedOut = true;
    closeStalled(options.responseTimeoutMs);
  }, options.responseTimeoutMs);
  let cancelReason: string | undefined;
  const cancelUnsent = (reason: string): void => {
    cancelReason = reason;
    close();
  };
  target.cancelUnsent.add(cancelUnsent);
  try {
    const res = await withStartCallback(pool, () =>
      target.cancelUnsent.delete(cancelUnsent),
    ).request({
      method: request.req.method as Dispatcher.HttpMethod,
      path: upstreamPathOf(callerApi, request),
      headers: callerApi.writeAttempt(request.req.headers, {
        requestId: request.id,
        endpoint: target.endpoint,
        organisation: request.organisation?.id,
        deadlineMs: Math.max(1, Math.floor(options.remainingMs)),
        resumeAfter: options.resumeAfter,
      }),
      body: request.body.length > 0 ? request.body : null,
      signal: abortController.signal,
    });
    // An unhandled error of an unread body would end the process.
    res.body.on('error', () => undefined);
    const head = callerApi.readResponse(res.statusCode, res.headers);
    options.onHead(head);
    const headFault = checkHead(head, request, close);
    if (!headFault) return Ok({ head, body: res.body, close, closeStalled });
    await res.body.dump().catch(() => close());
    return Err(headFault);
  } catch (err) {
    if (hasTimedOut)
      return attemptFault(
        'silent',
        `no response within ${Math.round(options.responseTimeoutMs)} ms`,
      );
    if (cancelReason !== undefined) return attemptFault('resting', cancelReason);
    const detail = errorText(err);
    if (wasNotSent(err)) return Err({ kind: 'not-run', detail, isUnreachable: true });
    return attemptFault('broke', detail);
  } finally {
    target.cancelUnsent.delete(cancelUnsent);
    clearTimeout(timer);
  }
}
