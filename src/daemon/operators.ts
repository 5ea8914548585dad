/** HTTP server for operators: health, readiness, metrics, status, configuration and past decisions. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { DecisionRecord } from '../caller-api/index.js';
import { createBoundedServer } from '../runtime/bounded-server.js';
import type { DaemonContext } from '../runtime/index.js';

/** What the operators' server reads from the daemon. */
export interface OperatorServerDeps {
  readonly ctx: DaemonContext;
  /** Requests in flight. */
  readonly running: () => number;
  /** Past decisions; on entries only. */
  readonly decisions: DecisionRecord | undefined;
  /** State of the group's switch to a new map; on agents only. */
  readonly group: (() => object) | undefined;
}

/** The JSON of `/status`, which `harrierglade status` prints for each daemon. */
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

const MAX_LATEST_DECISIONS = 20;

function statusOf(deps: OperatorServerDeps): DaemonStatus {
  const { ctx } = deps;
  const versions = ctx.store.versions();
  return {
    instance: ctx.self,
    incarnation: ctx.incarnation,
    role: ctx.settings.role,
    dataCentre: ctx.settings.dataCentre,
    ready: versions.config > 0 && !ctx.isLeaving(),
    leaving: ctx.isLeaving(),
    running: deps.running(),
    config: versions.config,
    digest: ctx.store.config?.digest ?? '',
    list: versions.list,
    refusedDocuments: ctx.store.refused,
    group: deps.group?.(),
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

function handleExplain(deps: OperatorServerDeps, url: URL, res: ServerResponse): void {
  if (!deps.decisions)
    return sendJson(res, 404, {
      error:
        'This daemon is an agent and keeps no decisions: query the entry that served the request.',
    });
  const id = url.searchParams.get('id');
  if (!id) return sendJson(res, 200, deps.decisions.latest(MAX_LATEST_DECISIONS));
  const decision = deps.decisions.find(id);
  if (decision) return sendJson(res, 200, decision);
  sendJson(res, 404, {
    error: `Decision ${id} is not kept: query the entry whose name begins the id, soon after the request.`,
  });
}

function handleRequest(deps: OperatorServerDeps, req: IncomingMessage, res: ServerResponse): void {
  const url = new URL(req.url ?? '/', 'http://operators');
  if (url.pathname === '/healthz') return sendText(res, 200, 'ok\n');
  if (url.pathname === '/readyz') {
    const { ready } = statusOf(deps);
    return sendText(
      res,
      ready ? 200 : 503,
      ready ? 'ready\n' : 'not ready: no configuration yet, or leaving\n',
    );
  }
  if (url.pathname === '/metrics') return sendText(res, 200, deps.ctx.metrics.print());
  if (url.pathname === '/counters') return sendJson(res, 200, deps.ctx.metrics.snapshot());
  if (url.pathname === '/status') return sendJson(res, 200, statusOf(deps));
  if (url.pathname === '/configuration') return sendJson(res, 200, deps.ctx.store.config ?? null);
  if (url.pathname === '/explain') return handleExplain(deps, url, res);
  sendJson(res, 404, {
    error: 'Use /healthz, /readyz, /metrics, /counters, /status, /configuration or /explain.',
  });
}

/**
 * Creates the operators' server.
 * @example createOperatorServer(deps).listen(9000, '127.0.0.1');
 */
export function createOperatorServer(deps: OperatorServerDeps, requestTimeoutMs?: number): Server {
  const { clients: limits } = deps.ctx;
  return createBoundedServer({ limits, port: 'operators', requestTimeoutMs }, (req, res) =>
    handleRequest(deps, req, res),
  );
}
