/**
 * Fake endpoint that speaks the platform's HTTP API: a plain service, or a model engine whose
 * streams advance with the steps of its group. It records every request that it starts to execute.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineCalls } from '../../src/group/engine-calls.js';
import { closeServer } from '../http/index.js';
import { serveRankCalls } from './rank-calls.js';

/** A request that an endpoint started to execute. */
export interface EndpointExecution {
  readonly endpoint: string;
  readonly requestId: string;
  readonly path: string;
  readonly body: string;
  readonly organisation: string;
  readonly startedAtMs: number;
}

/**
 * Fault of one request: rejected without execution (`full`), status 500 (`error`), connection reset
 * (`cut`). The last three concern only complete answers: the ID of another request (`crossed`), no
 * stamp of the server (`unsigned`), a truncated body (`short`).
 */
export type EndpointFault = 'full' | 'error' | 'cut' | 'crossed' | 'unsigned' | 'short';

/** Backpressure that an endpoint signals in its answers. */
export interface EndpointBackpressure {
  /** Value of Retry-After when it rejects a request for lack of capacity, s. */
  readonly retryAfterS: number;
  /** Share of requests rejected with Retry-After. */
  readonly rejectedShare: number;
  readonly isLeaving: boolean;
  /** Requests per second accepted from all entries together; undefined if unlimited. */
  readonly limitPerS: number | undefined;
}

/** No backpressure signals. */
export const NO_BACKPRESSURE: EndpointBackpressure = {
  retryAfterS: 0,
  rejectedShare: 0,
  isLeaving: false,
  limitPerS: undefined,
};

/** A request received by an endpoint, executed or not. */
export interface EndpointArrival {
  readonly endpoint: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** An answer that carried a backpressure signal. */
export interface EndpointSignal extends EndpointArrival {
  /** Retry-After of the answer, ms. */
  readonly retryAfterMs: number | undefined;
  readonly isLeaving: boolean;
  readonly limitPerS: number | undefined;
}

/** Options of a fake endpoint. */
export interface EndpointOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Time to execute a plain request, ms. */
  readonly workMs: number;
  /** Engine calls of its rank; undefined for a plain service. */
  readonly rank: EngineCalls | undefined;
  /** The latest step started by its group. */
  readonly step: () => number;
  /** Called for each request that starts to execute; true if the request crashes the endpoint. */
  readonly crashesOn?: (path: string) => boolean;
  /** Fault to apply to the next request; undefined for none. */
  readonly nextFault: () => EndpointFault | undefined;
  readonly backpressure?: () => EndpointBackpressure;
  readonly random?: () => number;
  readonly nowMs: () => number;
}

/** A running fake endpoint and its records. */
export interface PlatformEngine {
  readonly executions: readonly EndpointExecution[];
  readonly arrivals: readonly EndpointArrival[];
  readonly signals: readonly EndpointSignal[];
  close(): void;
}

/** Number of events in a stream. */
export const STREAM_EVENTS = 12;
/** Interval at which a stream checks whether its group has started another step, ms. */
const STEP_POLL_MS = 10;

/** Ending of the IDs of requests whose streams exceed what the system buffers for connections. */
export const LARGE_SUFFIX = '-large';
/** Follows the data of each event of such a stream. */
const LARGE_PADDING = ` ${'x'.repeat(2 << 20)}`;
const PADDING_PATTERN = / x+(?=\n\n)/g;

/**
 * Removes the padding from the whole events of a stream; padding of another length stays.
 * @example withoutPadding('id: 1\ndata: q-1-large 1 xxx…\n\n') // 'id: 1\ndata: q-1-large 1\n\n'
 */
export function withoutPadding(stream: string): string {
  return stream.replace(PADDING_PATTERN, (found) =>
    found.length === LARGE_PADDING.length ? '' : found,
  );
}

/** The complete answer to a plain request. */
export const completeAnswer = (requestId: string): string => `answer to ${requestId}`;
/** The data field of one event in the stream of a request. */
export const eventData = (requestId: string, id: number): string => `${requestId} ${id}`;

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req as AsyncIterable<Buffer>) text += chunk.toString('latin1');
  return text;
}

function singleHeader(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * Starts a fake endpoint.
 * @example const engine = await startPlatformEngine(options); engine.executions.length
 */
export async function startPlatformEngine(options: EndpointOptions): Promise<PlatformEngine> {
  const executions: EndpointExecution[] = [];
  const arrivals: EndpointArrival[] = [];
  const signals: EndpointSignal[] = [];

  /** Headers for the current backpressure signals; records them if there are any. */
  function backpressureHeaders(requestId: string, retryAfterS?: number): Record<string, string> {
    const { isLeaving, limitPerS } = options.backpressure?.() ?? NO_BACKPRESSURE;
    const headers = {
      ...(retryAfterS !== undefined && { 'retry-after': String(retryAfterS) }),
      ...(isLeaving && { 'server-leaving': '1' }),
      ...(limitPerS !== undefined && { 'server-limit': String(limitPerS) }),
    };
    if (Object.keys(headers).length > 0)
      signals.push({
        endpoint: options.id,
        requestId,
        atMs: options.nowMs(),
        retryAfterMs: retryAfterS === undefined ? undefined : retryAfterS * 1000,
        isLeaving,
        limitPerS,
      });
    return headers;
  }

  function responseHeaders(
    requestId: string,
    extra: Record<string, string> = {},
  ): Record<string, string> {
    const backpressure = backpressureHeaders(requestId);
    return {
      'x-request-id': requestId,
      'x-server-stamp': `stamp.${options.id}`,
      ...backpressure,
      ...extra,
    };
  }

  /** Rejects a share of requests with Retry-After; returns whether this one was rejected. */
  function rejectsWithRetryAfter(requestId: string, res: ServerResponse): boolean {
    const { retryAfterS, rejectedShare } = options.backpressure?.() ?? NO_BACKPRESSURE;
    if (rejectedShare === 0 || (options.random?.() ?? 0) >= rejectedShare) return false;
    const headers = { 'x-request-id': requestId, 'x-not-executed': '1' };
    res.writeHead(503, { ...headers, ...backpressureHeaders(requestId, retryAfterS) }).end();
    return true;
  }

  async function sendEventStream(
    req: IncomingMessage,
    res: ServerResponse,
    isCut: boolean,
  ): Promise<void> {
    const requestId = singleHeader(req, 'x-request-id');
    const after = Number(singleHeader(req, 'last-event-id') || 0);
    res.writeHead(200, responseHeaders(requestId, { 'content-type': 'text/event-stream' }));
    const padding = requestId.endsWith(LARGE_SUFFIX) ? LARGE_PADDING : '';
    let lastStep = options.step();
    for (let id = after + 1; id <= STREAM_EVENTS; id += 1) {
      while (options.step() === lastStep && !res.destroyed) await sleep(STEP_POLL_MS);
      if (res.destroyed) return;
      lastStep = options.step();
      if (isCut && id > STREAM_EVENTS / 2) return void req.socket.resetAndDestroy();
      res.write(`id: ${id}\ndata: ${eventData(requestId, id)}${padding}\n\n`);
    }
    res.end();
  }

  async function handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = singleHeader(req, 'x-request-id');
    if (singleHeader(req, 'x-expect-instance') !== options.id)
      return void res.writeHead(421, { 'x-request-id': requestId }).end();
    arrivals.push({ endpoint: options.id, requestId, atMs: options.nowMs() });
    if (rejectsWithRetryAfter(requestId, res)) return;
    const fault = options.nextFault();
    if (fault === 'full')
      return void res.writeHead(503, responseHeaders(requestId, { 'x-not-executed': '1' })).end();
    const body = await readText(req);
    executions.push({
      endpoint: options.id,
      requestId,
      path: req.url ?? '',
      body,
      organisation: singleHeader(req, 'x-tenant'),
      startedAtMs: options.nowMs(),
    });
    if (options.crashesOn?.(req.url ?? '')) return;
    if (options.rank) return sendEventStream(req, res, fault === 'cut');
    await sleep(options.workMs);
    if (fault === 'cut') return void req.socket.resetAndDestroy();
    if (fault === 'error') return void res.writeHead(500, responseHeaders(requestId)).end('failed');
    sendAnswer(req, res, requestId, fault);
  }

  /** Answers a plain request, applying the fault if there is one. */
  function sendAnswer(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    fault: EndpointFault | undefined,
  ): void {
    const text = completeAnswer(requestId);
    const headers = responseHeaders(requestId, { 'content-length': String(text.length) });
    if (fault === 'crossed') headers['x-request-id'] = `${requestId}-other`;
    if (fault === 'unsigned') delete headers['x-server-stamp'];
    res.writeHead(200, headers);
    if (fault !== 'short') return void res.end(text);
    res.write(text.slice(0, text.length / 2), () => req.socket.end());
  }

  const server: Server = createServer((req, res) => {
    req.on('error', () => undefined);
    const rankCall = options.rank ? serveRankCalls(options.rank, req, res) : Promise.resolve(false);
    rankCall
      .then((isServed) => (isServed ? undefined : handleRequest(req, res)))
      .catch(() => req.socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(options.port, options.host, resolve));
  return { executions, arrivals, signals, close: () => closeServer(server) };
}
