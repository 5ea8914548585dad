/**
 * Stand-in of one endpoint on the platform's wire: a plain service, or a model engine whose streams
 * advance with the steps of its group. It notes every request that it began to run.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EngineCalls } from '../../src/group/engine-calls.js';
import { closeServer } from '../http/index.js';
import { serveRankCalls } from './rank-calls.js';

/** A request that an endpoint began to run. */
export interface EndpointRun {
  readonly endpoint: string;
  readonly requestId: string;
  readonly path: string;
  readonly body: string;
  readonly organisation: string;
  readonly startedAtMs: number;
}

/** Ways in which an endpoint fails a request; the last three concern whole answers only. */
export type EndpointFault = 'full' | 'error' | 'cut' | 'crossed' | 'unsigned' | 'short';

/** What an endpoint asks for in its answers. */
export interface EngineAsks {
  /** Rest that it asks for when it turns a request away for want of something, s. */
  readonly restS: number;
  /** Share of the requests that it turns away so. */
  readonly restShare: number;
  readonly isLeaving: boolean;
  /** Requests a second that it takes from all entries together; undefined while it needs no limit. */
  readonly limitPerS: number | undefined;
}

/** An endpoint that asks for nothing. */
export const NO_ASKS: EngineAsks = {
  restS: 0,
  restShare: 0,
  isLeaving: false,
  limitPerS: undefined,
};

/** A request that came to an endpoint, whether it was run or not. */
export interface EndpointArrival {
  readonly endpoint: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** An answer in which an endpoint asked for something. */
export interface EndpointAsked extends EndpointArrival {
  /** Rest that it asked for, ms. */
  readonly restMs: number | undefined;
  readonly isLeaving: boolean;
  readonly limitPerS: number | undefined;
}

/** How an endpoint behaves. */
export interface EndpointOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  /** Time of a plain request, ms. */
  readonly workMs: number;
  /** The calls of its rank; undefined for a plain service. */
  readonly rank: EngineCalls | undefined;
  /** The step that its group began last. */
  readonly step: () => number;
  /** Told of each request that begins to run; true where the endpoint falls by it. */
  readonly fallsBy?: (path: string) => boolean;
  /** What goes wrong with the next request; undefined when nothing does. */
  readonly nextFault: () => EndpointFault | undefined;
  readonly asks?: () => EngineAsks;
  readonly random?: () => number;
  readonly nowMs: () => number;
}

/** A running stand-in. */
export interface PlatformEngine {
  readonly runs: readonly EndpointRun[];
  readonly arrivals: readonly EndpointArrival[];
  readonly asked: readonly EndpointAsked[];
  close(): void;
}

/** Events of a stream. */
export const STREAM_EVENTS = 12;
/** How often a stream looks whether its group has begun another step, ms. */
const STEP_POLL_MS = 10;

/** The whole answer to a plain request. */
export const plainAnswer = (requestId: string): string => `answer to ${requestId}`;
/** The data of one event of a request's stream. */
export const eventData = (requestId: string, id: number): string => `${requestId} ${id}`;

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const piece of req as AsyncIterable<Buffer>) text += piece.toString('latin1');
  return text;
}

function oneHeader(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * Starts an endpoint.
 * @example const engine = await startPlatformEngine(options); engine.runs.length
 */
export async function startPlatformEngine(options: EndpointOptions): Promise<PlatformEngine> {
  const runs: EndpointRun[] = [];
  const arrivals: EndpointArrival[] = [];
  const asked: EndpointAsked[] = [];

  /** Headers of what the endpoint asks for; notes that it did. */
  function askHeaders(requestId: string, restS?: number): Record<string, string> {
    const { isLeaving, limitPerS } = options.asks?.() ?? NO_ASKS;
    const headers = {
      ...(restS !== undefined && { 'retry-after': String(restS) }),
      ...(isLeaving && { 'server-leaving': '1' }),
      ...(limitPerS !== undefined && { 'server-limit': String(limitPerS) }),
    };
    if (Object.keys(headers).length > 0)
      asked.push({
        endpoint: options.id,
        requestId,
        atMs: options.nowMs(),
        restMs: restS === undefined ? undefined : restS * 1000,
        isLeaving,
        limitPerS,
      });
    return headers;
  }

  function headOf(requestId: string, more: Record<string, string> = {}): Record<string, string> {
    const asks = askHeaders(requestId);
    return { 'x-request-id': requestId, 'x-server-stamp': `stamp.${options.id}`, ...asks, ...more };
  }

  /** Turns a request away and asks for rest; false when there is no need to. */
  function rests(requestId: string, res: ServerResponse): boolean {
    const { restS, restShare } = options.asks?.() ?? NO_ASKS;
    if (restShare === 0 || (options.random?.() ?? 0) >= restShare) return false;
    const head = { 'x-request-id': requestId, 'x-not-executed': '1' };
    res.writeHead(503, { ...head, ...askHeaders(requestId, restS) }).end();
    return true;
  }

  async function stream(req: IncomingMessage, res: ServerResponse, isCut: boolean): Promise<void> {
    const requestId = oneHeader(req, 'x-request-id');
    const after = Number(oneHeader(req, 'last-event-id') || 0);
    res.writeHead(200, headOf(requestId, { 'content-type': 'text/event-stream' }));
    let seen = options.step();
    for (let id = after + 1; id <= STREAM_EVENTS; id += 1) {
      while (options.step() === seen && !res.destroyed) await sleep(STEP_POLL_MS);
      if (res.destroyed) return;
      seen = options.step();
      if (isCut && id > STREAM_EVENTS / 2) return void req.socket.resetAndDestroy();
      res.write(`id: ${id}\ndata: ${eventData(requestId, id)}\n\n`);
    }
    res.end();
  }

  async function run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = oneHeader(req, 'x-request-id');
    if (oneHeader(req, 'x-expect-instance') !== options.id)
      return void res.writeHead(421, { 'x-request-id': requestId }).end();
    arrivals.push({ endpoint: options.id, requestId, atMs: options.nowMs() });
    if (rests(requestId, res)) return;
    const fault = options.nextFault();
    if (fault === 'full')
      return void res.writeHead(503, headOf(requestId, { 'x-not-executed': '1' })).end();
    const body = await readText(req);
    runs.push({
      endpoint: options.id,
      requestId,
      path: req.url ?? '',
      body,
      organisation: oneHeader(req, 'x-tenant'),
      startedAtMs: options.nowMs(),
    });
    if (options.fallsBy?.(req.url ?? '')) return;
    if (options.rank) return stream(req, res, fault === 'cut');
    await sleep(options.workMs);
    if (fault === 'cut') return void req.socket.resetAndDestroy();
    if (fault === 'error') return void res.writeHead(500, headOf(requestId)).end('failed');
    answerWhole(req, res, requestId, fault);
  }

  /** Answers a plain request, or spoils the answer in one way. */
  function answerWhole(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    fault: EndpointFault | undefined,
  ): void {
    const text = plainAnswer(requestId);
    const head = headOf(requestId, { 'content-length': String(text.length) });
    if (fault === 'crossed') head['x-request-id'] = `${requestId}-other`;
    if (fault === 'unsigned') delete head['x-server-stamp'];
    res.writeHead(200, head);
    if (fault !== 'short') return void res.end(text);
    res.write(text.slice(0, text.length / 2), () => req.socket.end());
  }

  const server: Server = createServer((req, res) => {
    req.on('error', () => undefined);
    const served = options.rank ? serveRankCalls(options.rank, req, res) : Promise.resolve(false);
    served.then((done) => (done ? undefined : run(req, res))).catch(() => req.socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(options.port, options.host, resolve));
  return { runs, arrivals, asked, close: () => closeServer(server) };
}
