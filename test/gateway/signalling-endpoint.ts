/** Endpoints that send backpressure signals and record the requests that they receive. */
import { startRawEndpoint, responseHead, type RawRequest } from '../../fakes/raw-endpoint/index.js';

/** Service time of an ordinary request, ms. */
const SERVICE_TIME_MS = 20;

/** Time and sender of a request, or of the response to it. */
export interface RecordedRequest {
  readonly atMs: number;
  /** The entry that sent it, parsed from the request id. */
  readonly entry: string;
}

/** How an endpoint responds: status, additional headers and service time. */
export interface Behaviour {
  readonly status?: 503 | 421;
  readonly headers: readonly string[];
  /** Time until the response, ms. */
  readonly serviceTimeMs?: number;
}

/** A running endpoint. */
export interface SignallingEndpoint {
  readonly address: string;
  /** Requests received, in order. */
  readonly arrivals: RecordedRequest[];
  /** Responses that carried signals, in order. */
  readonly signalled: RecordedRequest[];
  behaviour: () => Behaviour;
  close(): void;
}

const NO_SIGNALS: Behaviour = { headers: [] };

/** Request id that contains the name of the entry. */
export function requestId(entry: string, n: number): string {
  return `${entry}.${n}`;
}

/**
 * Starts an endpoint.
 * @example const endpoint = await startSignallingEndpoint(); endpoint.behaviour = () => requestBackoff(3);
 */
export async function startSignallingEndpoint(): Promise<SignallingEndpoint> {
  const recordOf = (req: RawRequest): RecordedRequest => ({
    atMs: performance.now(),
    entry: req.headers['x-request-id']?.split('.')[0] ?? '',
  });
  const respond = (req: RawRequest, { status, headers }: Behaviour): void => {
    if (headers.length > 0) endpoint.signalled.push(recordOf(req));
    const line = status ? `${status} Turned Away` : '200 OK';
    const body = status ? '' : 'ok';
    const allHeaders = [...headers, ...(status ? ['X-Not-Executed: 1'] : [])];
    const head = responseHead(req, line, [...allHeaders, `Content-Length: ${body.length}`]);
    req.socket.write(head + body);
  };
  const raw = await startRawEndpoint((req) => {
    endpoint.arrivals.push(recordOf(req));
    const behaviour = endpoint.behaviour();
    if (behaviour.status) respond(req, behaviour);
    else setTimeout(() => respond(req, behaviour), behaviour.serviceTimeMs ?? SERVICE_TIME_MS);
  });
  const endpoint: SignallingEndpoint = {
    address: raw.address,
    arrivals: [],
    signalled: [],
    behaviour: () => NO_SIGNALS,
    close: () => raw.close(),
  };
  return endpoint;
}

/** Refuses a request and requests a backoff, s. */
export const requestBackoff = (seconds: number | string): Behaviour => ({
  status: 503,
  headers: [`Retry-After: ${seconds}`],
});

/** Serves a request and announces that the endpoint is leaving. */
export const announceLeaving: Behaviour = { headers: ['Server-Leaving: 1'] };

/** Serves a request and announces a rate limit, requests per second. */
export const announceLimit = (perS: number): Behaviour => ({ headers: [`Server-Limit: ${perS}`] });

/** Time after a backoff request in which requests in flight may still arrive, ms. */
const BACKOFF_EFFECTIVE_AFTER_MS = 500;

/** Maximum number of requests from one entry within one backoff that it was told to observe. */
export function maxWithinBackoff(
  { arrivals, signalled }: SignallingEndpoint,
  backoffMs: number,
): number {
  const within = signalled.map(({ atMs, entry }) => {
    const late = arrivals.filter(
      (a) => a.entry === entry && a.atMs > atMs + BACKOFF_EFFECTIVE_AFTER_MS,
    );
    return late.filter((a) => a.atMs < atMs + backoffMs).length;
  });
  return Math.max(0, ...within);
}

/** Time after the first response with a rate limit from which the limit must hold, ms. */
const LIMIT_EFFECTIVE_AFTER_MS = 3000;
const LIMIT_WINDOW_MS = 4000;

/** Maximum number of requests in any 4 s, from all entries, once the limit must hold. */
export function maxWithinLimitWindow({ arrivals, signalled }: SignallingEndpoint): number {
  const fromMs = (signalled[0]?.atMs ?? 0) + LIMIT_EFFECTIVE_AFTER_MS;
  const late = arrivals.map(({ atMs }) => atMs).filter((atMs) => atMs > fromMs);
  const within = late.map(
    (atMs) => late.filter((other) => other >= atMs && other < atMs + LIMIT_WINDOW_MS).length,
  );
  return Math.max(0, ...within);
}

/** Number of requests allowed in 4 s under a rate limit. */
export const maxAllowedInLimitWindow = (perS: number): number => 1.5 * perS * 4 + 5;
