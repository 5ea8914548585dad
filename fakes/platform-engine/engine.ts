/**
 * Fake endpoint that speaks the platform's HTTP API: a plain service, or a model engine whose
 * streams advance with the steps of its group. It records every request that it starts to execute.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineCalls } from '../../src/group/engine-calls.js';
import { closeServer } from '../http/index.js';
import { isEndless, isEndlessRejection, sendEndless, type EndlessFault } from './endless.js';
import { serveRankCalls } from './rank-calls.js';
import { formatAnswer, formatUnframed, SurplusAnswers } from './surplus-answers.js';

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
 * Fault of one request: rejected without execution with status 503 (`full`), also once more in the place of the next
 * answer (`full-late`), 429 (`limited`) or 421 (`misdirected`); connection reset before execution (`dropped`) or
 * after it (`cut`), status 500 (`error`), bytes that are no answer (`garbled`), none at all (`silent`). The others
 * concern only complete answers: the ID of another request (`crossed`), no stamp of the server (`unsigned`), a
 * truncated body (`short`), a second answer in the place of the next one (`late`) or at once (`twice`), other bytes
 * behind it (`trailing`), no length (`unframed`), an informational answer before it (`informational`),
 * `Connection: close` (`closing`), a connection closed soon after it without notice (`idle-close`). See `EndlessFault`
 * for answers without end.
 */
export type EndpointFault =
  | 'full'
  | 'full-late'
  | 'limited'
  | 'misdirected'
  | 'dropped'
  | 'error'
  | 'cut'
  | 'garbled'
  | 'silent'
  | 'crossed'
  | 'unsigned'
  | 'short'
  | 'late'
  | 'twice'
  | 'trailing'
  | 'unframed'
  | 'informational'
  | 'closing'
  | 'idle-close'
  | EndlessFault;

/** Status of a request that is rejected without execution. */
const REJECTED_STATUS: Partial<Record<EndpointFault, number>> = {
  full: 503,
  'full-late': 503,
  limited: 429,
  misdirected: 421,
};
/** Longest time after which a connection is closed without notice, ms; the next request is often on its way. */
const IDLE_CLOSE_MS = 30;

/** Faults after which a connection is of no further use, or ends in the middle of an answer. */
const SPOILING: ReadonlySet<EndpointFault> = new Set(['short', 'twice', 'trailing', 'unframed']);

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
  /** Fault that was applied to it, if any. */
  fault?: EndpointFault | undefined;
}

/** An answer that carried a backpressure signal. */
export interface EndpointSignal extends EndpointArrival {
  /** Retry-After of the answer, ms. */
  readonly retryAfterMs: number | undefined;
  readonly isLeaving: boolean;
  readonly limitPerS: number | undefined;
}

/** An answer sent once more, in the place of the answer to another request. */
export interface EndpointSurplus extends EndpointArrival {
  readonly inPlaceOf: string;
  readonly status: number;
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

/** A request whose connection was closed while the endpoint was at work on it. */
export interface AbandonedRequest {
  readonly endpoint: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** A running fake endpoint and its records. */
export interface PlatformEngine {
  readonly executions: readonly EndpointExecution[];
  readonly abandoned: readonly AbandonedRequest[];
  readonly arrivals: readonly EndpointArrival[];
  readonly signals: readonly EndpointSignal[];
  readonly surplus: readonly EndpointSurplus[];
  /** Closes connections that are opened beyond a number; undefined for no limit. */
  limitConnections(max: number | undefined): void;
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
  const abandoned: AbandonedRequest[] = [];
  const surplus = new SurplusAnswers();
  const sentSurplus: EndpointSurplus[] = [];

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
    retryAfterS?: number,
  ): Record<string, string> {
    const backpressure = backpressureHeaders(requestId, retryAfterS);
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

  /** Sends the surplus answer that is due on a connection, if any, before that to a request. */
  function sendDue(socket: Socket, inPlaceOf: string): void {
    const answer = surplus.sendDue(socket);
    if (!answer) return;
    const requestId = answer.headers['x-request-id'] ?? '';
    const status = Number.parseInt(answer.status, 10);
    sentSurplus.push({ endpoint: options.id, requestId, inPlaceOf, status, atMs: options.nowMs() });
  }

  async function handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = singleHeader(req, 'x-request-id');
    if (singleHeader(req, 'x-expect-instance') !== options.id)
      return void res.writeHead(421, { 'x-request-id': requestId }).end();
    const arrival: EndpointArrival = { endpoint: options.id, requestId, atMs: options.nowMs() };
    arrivals.push(arrival);
    sendDue(req.socket, requestId);
    if (rejectsWithRetryAfter(requestId, res)) return;
    const fault = options.nextFault();
    arrival.fault = fault;
    const rejectedStatus = fault && REJECTED_STATUS[fault];
    if (rejectedStatus !== undefined) {
      const { retryAfterS } = options.backpressure?.() ?? NO_BACKPRESSURE;
      const backoffS = fault === 'limited' && retryAfterS > 0 ? retryAfterS : undefined;
      const headers = responseHeaders(requestId, { 'x-not-executed': '1' }, backoffS);
      if (fault === 'full-late')
        surplus.repeat(req.socket, { status: '503 Service Unavailable', headers, body: '' });
      return void res.writeHead(rejectedStatus, headers).end();
    }
    if (isEndless(fault) && isEndlessRejection(fault)) return sendWithoutEnd(req, fault);
    if (fault === 'dropped') return void req.socket.resetAndDestroy();
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
    if (fault === 'garbled') return sendGarbled(req);
    if (isEndless(fault)) return sendWithoutEnd(req, fault);
    if (fault !== 'cut') recordIfAbandoned(req, res, requestId);
    if (fault === 'silent') return;
    if (options.rank) return sendEventStream(req, res, fault === 'cut');
    await sleep(options.workMs);
    if (fault === 'cut') return void req.socket.resetAndDestroy();
    if (fault === 'error') return void res.writeHead(500, responseHeaders(requestId)).end('failed');
    sendAnswer(req, res, requestId, fault);
  }

  /** Records a request whose connection is closed before its answer, unless the endpoint spoiled the connection. */
  function recordIfAbandoned(req: IncomingMessage, res: ServerResponse, requestId: string): void {
    const { socket } = req;
    res.on('close', () => {
      if (res.writableEnded || surplus.isSpoiled(socket)) return;
      abandoned.push({ endpoint: options.id, requestId, atMs: options.nowMs() });
    });
  }

  function sendGarbled({ socket }: IncomingMessage): void {
    surplus.spoil(socket);
    socket.write('bytes of no answer\r\n\r\n');
  }

  function sendWithoutEnd(
    { socket, headers }: IncomingMessage,
    fault: EndlessFault,
  ): Promise<void> {
    surplus.spoil(socket);
    return sendEndless(socket, fault, responseHeaders(String(headers['x-request-id'])));
  }

  const idleCloseMs = (): number => IDLE_CLOSE_MS * (options.random?.() ?? 1);

  function dropConnection(socket: Socket): void {
    surplus.spoil(socket);
    socket.destroy();
  }

  /** Answers a plain request, applying the fault if there is one. */
  function sendAnswer(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    fault: EndpointFault | undefined,
  ): void {
    const { socket } = req;
    const body = completeAnswer(requestId);
    const headers = responseHeaders(requestId);
    const answer = { status: '200 OK', headers, body };
    if (fault === 'crossed') headers['x-request-id'] = `${requestId}-other`;
    if (fault === 'unsigned') delete headers['x-server-stamp'];
    if (fault === 'closing') headers['connection'] = 'close';
    if (fault === 'late') surplus.repeat(socket, answer);
    if (fault === 'informational') res.writeEarlyHints({ link: '</style.css>; rel=preload' });
    if (fault !== undefined && SPOILING.has(fault)) surplus.spoil(socket);
    if (fault === 'unframed') return void socket.end(formatUnframed(answer));
    res.writeHead(200, { ...headers, 'content-length': String(body.length) });
    if (fault === 'short')
      return void res.write(body.slice(0, body.length / 2), () => socket.end());
    res.end(body);
    if (fault === 'twice') socket.write(formatAnswer(answer));
    if (fault === 'trailing') socket.write('bytes of no answer');
    if (fault === 'idle-close') setTimeout(() => dropConnection(socket), idleCloseMs());
  }

  const server: Server = createServer((req, res) => {
    req.on('error', () => undefined);
    const rankCall = options.rank ? serveRankCalls(options.rank, req, res) : Promise.resolve(false);
    rankCall
      .then((isServed) => (isServed ? undefined : handleRequest(req, res)))
      .catch(() => req.socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(options.port, options.host, resolve));
  return {
    executions,
    arrivals,
    abandoned,
    signals,
    surplus: sentSurplus,
    limitConnections: (max) => (server.maxConnections = max ?? Number.MAX_SAFE_INTEGER),
    close: () => closeServer(server),
  };
}
