/** One attempt at an endpoint: sends the request and checks the response headers. */
import type { Dispatcher, Pool } from 'undici';
import { errorText } from '../../core/errors/index.js';
import { Err, Ok, type Result } from '../../core/result/index.js';
import { wasNotSent } from '../endpoints/connect.js';
import { startExchange, type Exchange, type RawHead } from '../endpoints/exchange.js';
import { MIN_ATTEMPT_TIME_MS, STALLED_CONNECTION_MS } from '../consts.js';
import type { EndpointState } from '../endpoints/endpoint-state.js';
import { discardBody } from './discard-body.js';
import { SilenceTimeout } from './silence-timeout.js';
import type {
  ResponseHead,
  AttemptFault,
  FaultEvidence,
  GatewayRequest,
  CallerApi,
  RejectReason,
} from '../types.js';

/** A response whose headers have been checked; its body has yet to be read. */
export interface AttemptResponse {
  readonly head: ResponseHead;
  readonly body: Dispatcher.ResponseData['body'];
  /** Closes the connection: late bytes on it must not be taken for another response. */
  readonly close: () => void;
  /** Notes a silence of the endpoint, ms; other open connections to it may be dead too. */
  readonly noteSilence: (silentMs: number) => void;
}

/** Options of one attempt. */
export interface AttemptOptions {
  readonly callers: CallerApi;
  readonly request: GatewayRequest;
  readonly target: EndpointState;
  readonly resumeAfter: number | undefined;
  /** Timeout of the response headers while the request can go on elsewhere, ms. */
  readonly responseTimeoutMs: number;
  /** Time until the deadline, ms. */
  readonly remainingMs: () => number;
  /** Whether the request can go on elsewhere if this attempt, which may have run it or not, is ended. */
  readonly mayEnd: (mayHaveRun: boolean) => boolean;
  /** Called with the headers of a response to this request. */
  readonly onHead: (head: ResponseHead) => void;
}

/** Highest valid status (RFC 9110, 15); the HTTP client rejects those that are too low. */
const MAX_STATUS = 599;

const REJECTED_TEXTS: Record<RejectReason, string> = {
  'other-request': 'the response belongs to another request',
  'no-request-id': 'the response lacks a request id',
  unsigned: 'the response is unsigned',
  encoded: 'the response has a content encoding',
  'invalid-status': 'the status of the response is not from 100 to 599',
};

/** A response that must not be used, whatever its status says. */
class RejectedResponse extends Error {
  constructor(
    readonly reason: RejectReason,
    readonly evidence: FaultEvidence,
  ) {
    super(REJECTED_TEXTS[reason]);
  }
}

/**
 * Why a response cannot be used. Whose response it is comes before anything that it says, and only its id tells:
 * a "not run" may belong to an earlier request on its connection, or to none if the endpoint spoke first.
 */
function rejectedHead(head: ResponseHead, request: GatewayRequest): RejectReason | undefined {
  if (head.requestId === undefined) return 'no-request-id';
  if (head.requestId !== request.id) return 'other-request';
  if (head.status > MAX_STATUS) return 'invalid-status';
  if (head.status < 200 || head.status >= 300) return undefined;
  if (!head.isSigned) return 'unsigned';
  return head.isEncoded ? 'encoded' : undefined;
}

/** The fault of an endpoint that states that it has not run the request. */
function notRunFault(
  { isNotRun, status, asks }: ResponseHead,
  evidence: FaultEvidence,
): AttemptFault | undefined {
  if (!isNotRun) return undefined;
  const detail = `endpoint answered ${status}`;
  if (asks.backoffMs === undefined) return { kind: 'not-run', detail, evidence };
  return { kind: 'resting', detail: `${detail}, backoff of ${asks.backoffMs} ms`, evidence };
}

function upstreamPathOf(callerApi: CallerApi, request: GatewayRequest): string {
  const url = request.req.url ?? '/';
  return callerApi.upstreamPath?.(url) ?? url;
}

/** Headers of the response to a request, and the evidence that they give. */
interface CheckedHead {
  readonly head: ResponseHead;
  readonly evidence: FaultEvidence;
}

/** Reads the headers of a response, and checks that it is the one to this request. */
function readHead(
  { callers, request }: AttemptOptions,
  { status, headers, connection }: RawHead,
): Result<CheckedHead, RejectedResponse> {
  const head = callers.readResponse(status, headers);
  const evidence: FaultEvidence = {
    status,
    responseId: head.requestId,
    connectionMs: Math.round(connection.ageMs),
    connectionRequests: connection.requests,
  };
  const reason = rejectedHead(head, request);
  return reason === undefined
    ? Ok({ head, evidence })
    : Err(new RejectedResponse(reason, evidence));
}

/** Starts the exchange of an attempt; `onStart` is called when its request is about to be written. */
function startAttempt(
  options: AttemptOptions,
  pool: Pool,
  onStart: () => void,
): Exchange<CheckedHead> {
  const { callers, request, target } = options;
  const call: Dispatcher.RequestOptions = {
    method: request.req.method as Dispatcher.HttpMethod,
    path: upstreamPathOf(callers, request),
    headers: callers.writeAttempt(request.req.headers, {
      requestId: request.id,
      endpoint: target.endpoint,
      organisation: request.organisation?.id,
      deadlineMs: Math.max(1, Math.floor(options.remainingMs())),
      resumeAfter: options.resumeAfter,
    }),
    body: request.body.length > 0 ? request.body : null,
  };
  return startExchange(pool, call, { onStart, readHead: (raw) => readHead(options, raw) });
}

/** The fault of an attempt that this entry ended after a silence, ms. */
function silenceFault(silentMs: number, wasStarted: boolean): AttemptFault {
  const within = `within ${Math.round(silentMs)} ms`;
  if (wasStarted) return { kind: 'silent', detail: `no response ${within}` };
  return { kind: 'not-run', detail: `not sent: no connection was free ${within}`, isUnsent: true };
}

/** The fault of an attempt whose exchange failed by itself. */
function faultOf(err: unknown, wasStarted: boolean): AttemptFault {
  const detail = errorText(err);
  if (err instanceof RejectedResponse)
    return { kind: 'broke', detail, rejected: err.reason, evidence: err.evidence };
  if (!wasStarted && wasNotSent(err))
    return { kind: 'not-run', detail, isUnreachable: true, isUnsent: true };
  return { kind: 'broke', detail };
}

/**
 * Sends one attempt. The error kind tells whether the request may have run.
 * @example const response = await sendAttempt(options); if (response.ok) await relay(response.val);
 */
export async function sendAttempt(
  options: AttemptOptions,
): Promise<Result<AttemptResponse, AttemptFault>> {
  const { request, target } = options;
  const pool = target.connections.current;
  let wasStarted = false;
  let ownFault: AttemptFault | undefined;
  const cancelUnsent = (reason: string): void => {
    ownFault = { kind: 'resting', detail: reason, isUnsent: true };
    exchange.cancel();
  };
  target.cancelUnsent.add(cancelUnsent);
  const exchange = startAttempt(options, pool, () => {
    wasStarted = true;
    request.noteSent();
    target.cancelUnsent.delete(cancelUnsent);
  });
  const { close } = exchange;
  request.gone.addEventListener('abort', exchange.cancel, { once: true });
  const noteSilence = (silentMs: number): void => {
    if (silentMs >= STALLED_CONNECTION_MS) target.connections.replace(pool);
  };
  const timeout = new SilenceTimeout({
    idleMs: options.responseTimeoutMs,
    // A request that waits for a connection is not sent when it is too late to be served.
    remainingMs: () => options.remainingMs() - (wasStarted ? 0 : MIN_ATTEMPT_TIME_MS),
    mayEnd: () => options.mayEnd(wasStarted),
    onSilence: (silentMs) => {
      if (wasStarted) noteSilence(silentMs);
    },
    end: (silentMs) => {
      ownFault = silenceFault(silentMs, wasStarted);
      close();
    },
  });
  timeout.restart();
  try {
    const { head: checked, body } = await exchange.response;
    const { head, evidence } = checked;
    // An unhandled error of an unread body would end the process.
    body.on('error', () => undefined);
    options.onHead(head);
    const notRun = notRunFault(head, evidence);
    if (!notRun) return Ok({ head, body, close, noteSilence });
    // The response is complete for the caller, whose leaving must not close a sound connection.
    request.gone.removeEventListener('abort', exchange.cancel);
    discardBody(body, close);
    return Err(notRun);
  } catch (err) {
    return Err(ownFault ?? faultOf(err, wasStarted));
  } finally {
    target.cancelUnsent.delete(cancelUnsent);
    timeout.stop();
  }
}
