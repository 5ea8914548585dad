/** The operators' address: health, readiness, counters, status and past decisions. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { DecisionRecord } from '../caller-api/index.js';
import type { DaemonContext } from '../runtime/index.js';

/** Parts that an operator can look into. */
export interface OperatorParts {
  readonly ctx: DaemonContext;
  readonly running: () => number;
  readonly decisions: DecisionRecord | undefined;
  /** State of the group's map switch, on agents. */
  readonly group: (() => object) | undefined;
}

/** What `harrierglade status` shows of one daemon. */
export interface DaemonStatus {
  readonly instance: string;
  readonly incarnation: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly running: number;
  readonly config: number;
  readonly digest: string;
  readonly list: number;
  readonly refusedDocuments: readonly { version: number; reason: string; detail: string }[];
  readonly group: object | undefined;
}

const LATEST = 20;

function statusOf(parts: OperatorParts): DaemonStatus {
  const { ctx } = parts;
  const versions = ctx.store.versions();
  return {
    instance: ctx.self,
    incarnation: ctx.incarnation,
    role: ctx.settings.role,
    dataCentre: ctx.settings.dataCentre,
    ready: versions.config > 0 && !ctx.isLeaving(),
    leaving: ctx.isLeaving(),
    running: parts.running(),
    config: versions.config,
    digest: ctx.store.config?.digest ?? '',
    list: versions.list,
    refusedDocuments: ctx.store.refused,
    group: parts.group?.(),
  };
}

function sendJson(res: ServerResponse, status: number, data: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(data));
}

function sendText(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, { 'content-type': 'text/plain; version=0.0.4' });
  res.end(text);
}

function explain(parts: OperatorParts, url: URL, res: ServerResponse): void {
  if (!parts.decisions)
    return sendJson(res, 404, {
      error: 'This daemon is an agent: ask the entry that served the request.',
    });
  const id = url.searchParams.get('id');
  if (!id) return sendJson(res, 200, parts.decisions.latest(LATEST));
  const note = parts.decisions.find(id);
  if (note) return sendJson(res, 200, note);
  sendJson(res, 404, {
    error: `No decision ${id} is kept: ask the entry whose name begins the id, soon after the request.`,
  });
}

function serve(parts: OperatorParts, req: IncomingMessage, res: ServerResponse): void {
  const url = new URL(req.url ?? '/', 'http://operators');
  if (url.pathname === '/healthz') return sendText(res, 200, 'ok\n');
  if (url.pathname === '/readyz') {
    const { ready } = statusOf(parts);
    return sendText(
      res,
      ready ? 200 : 503,
      ready ? 'ready\n' : 'not ready: no configuration, or leaving\n',
    );
  }
  if (url.pathname === '/metrics') return sendText(res, 200, parts.ctx.metrics.print());
  if (url.pathname === '/counters') return sendJson(res, 200, parts.ctx.metrics.snapshot());
  if (url.pathname === '/status') return sendJson(res, 200, statusOf(parts));
  if (url.pathname === '/configuration') return sendJson(res, 200, parts.ctx.store.config ?? null);
  if (url.pathname === '/explain') return explain(parts, url, res);
  sendJson(res, 404, {
    error: 'Use /healthz, /readyz, /metrics, /counters, /status, /configuration or /explain.',
  });
}

/**
 * Makes the operators' server.
 * @example createOperatorServer(parts).listen(9000, '127.0.0.1');
 */
export function createOperatorServer(parts: OperatorParts): Server {
  return createServer((req, res) => serve(parts, req, res));
}
