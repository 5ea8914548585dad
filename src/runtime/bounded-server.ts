/** HTTP servers for other daemons, the platform and operators, whose clients are limited in what they take. */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { ClientConnections, type ClientLimits } from './connections/index.js';

/** Maximum time in which a request must arrive whole, ms: 4 MiB at half a MB per second take 8 s. */
const DEFAULT_REQUEST_TIMEOUT_MS = 15_000;
/** Interval between two checks for requests that are late, ms. */
const CHECK_INTERVAL_MS = 1000;
/** Response to a request whose head does not fit into memory. */
const NO_MEMORY_STATUS = 503;
/** Maximum size of a head, bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/** Options of a bounded server. */
export interface BoundedServerOptions extends Pick<ServerOptions, 'keepAliveTimeout'> {
  readonly limits: ClientLimits;
  /** What connects to it, for the log and the metrics. */
  readonly port: 'daemons' | 'ready' | 'operators';
  readonly requestTimeoutMs?: number;
}

/**
 * Creates a server that closes a connection whose request does not arrive in time, or is still arriving
 * when its response is sent: Node would read and discard the rest without end.
 * @example createBoundedServer({ limits, port: 'operators' }, (req, res) => res.end('ok')).listen(9000);
 */
export function createBoundedServer(
  { limits, port, requestTimeoutMs = DEFAULT_REQUEST_TIMEOUT_MS, ...options }: BoundedServerOptions,
  listener: RequestListener,
): Server {
  const { daemons, operators } = limits.connections;
  const connections = new ClientConnections({
    limits,
    port,
    maxConnections: port === 'daemons' ? daemons : operators,
    maxHeadBytes: () => MAX_HEAD_BYTES,
    headMs: () => requestTimeoutMs,
    firstHeadExtraMs: () => server.keepAliveTimeout,
  });
  const server = createServer(
    {
      ...options,
      maxHeaderSize: MAX_HEAD_BYTES,
      requestTimeout: requestTimeoutMs,
      headersTimeout: requestTimeoutMs,
      connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, requestTimeoutMs),
    },
    (req, res) => {
      req.on('error', () => undefined);
      res.once('finish', () => {
        if (!req.complete) req.socket.destroySoon();
      });
      const starts = connections.add(req, res, req.url ?? '');
      if (starts === false) return;
      if (!connections.keepHead(req, res)) {
        connections.end(req);
        res.writeHead(NO_MEMORY_STATUS).end();
        return;
      }
      if (starts === true) return listener(req, res);
      void starts.then((isStarted) => {
        if (isStarted) listener(req, res);
      });
    },
  );
  server.on('connection', connections.onConnection);
  server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
    connections.onClientError(err, socket as Socket),
  );
  return server;
}
