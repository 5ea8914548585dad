/** HTTP servers for other daemons and operators, whose requests are limited in size and time. */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';

/** Maximum time in which a request must arrive whole, ms: 4 MiB at half a MB per second take 8 s. */
const DEFAULT_REQUEST_TIMEOUT_MS = 15_000;
/** Interval between two checks for requests that are late, ms. */
const CHECK_INTERVAL_MS = 1000;

/** Options of a bounded server. */
export interface BoundedServerOptions extends Pick<ServerOptions, 'keepAliveTimeout'> {
  readonly requestTimeoutMs?: number;
}

/**
 * Creates a server that closes a connection whose request does not arrive in time, or is still arriving
 * when its response is sent: Node would read and discard the rest without end.
 * @example createBoundedServer({}, (req, res) => res.end('ok')).listen(9000, '127.0.0.1');
 */
export function createBoundedServer(
  { requestTimeoutMs = DEFAULT_REQUEST_TIMEOUT_MS, ...options }: BoundedServerOptions,
  listener: RequestListener,
): Server {
  const limits = {
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, requestTimeoutMs),
  };
  return createServer({ ...options, ...limits }, (req, res) => {
    res.once('finish', () => {
      if (!req.complete) req.socket.destroySoon();
    });
    listener(req, res);
  });
}
