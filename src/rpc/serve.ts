/** Serves a daemon's RPC handlers over HTTP. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { TRPC_ERROR_CODES_BY_KEY } from '@trpc/server/rpc';
import { BodyReservation } from '../core/buffering/index.js';
import { ERROR_KINDS, type HarriergladeError } from '../core/errors/index.js';
import { createBoundedServer } from '../runtime/bounded-server.js';
import type { ClientLimits } from '../runtime/connections/index.js';
import { readBody } from '../runtime/read-body.js';
import { RPC_PATH } from './consts.js';
import { buildRouter, type RpcHandlers } from './router.js';

/** Default message limit, bytes: a map of 16 layers, 129 ranks and 3 experts takes 12 KB. */
const DEFAULT_MAX_MESSAGE_BYTES = 1024 * 1024;

/** Options of an RPC server. */
export interface RpcServerOptions {
  /** Limits of the clients of this process. */
  readonly limits: ClientLimits;
  /** Largest message, bytes. */
  readonly maxBytes?: number;
  /** How long an idle connection is kept, ms; Node's default if omitted. */
  readonly keepAliveMs?: number;
  /** Maximum time in which a request must arrive whole, ms. */
  readonly requestTimeoutMs?: number;
  /** Called for each failed call, with its procedure and tRPC error code. */
  readonly onError?: (path: string, code: string) => void;
}

/** Timeout of reading the body of a call, ms; the server's own timeout of a whole request is shorter. */
const BODY_TIMEOUT_MS = 60_000;
const JSON_TYPE = 'application/json';

/** A request as the handler of tRPC takes it: with its body read, or reading it itself. */
type CallRequest = IncomingMessage & { body?: string };

/** Answers a call whose body could not be read. */
function refuseCall(res: ServerResponse, { reason, message }: HarriergladeError): void {
  const { status } = ERROR_KINDS[reason];
  const error = { message, code: TRPC_ERROR_CODES_BY_KEY.PAYLOAD_TOO_LARGE, data: { reason } };
  res.writeHead(status, { 'content-type': JSON_TYPE, connection: 'close' });
  res.end(JSON.stringify({ error }));
}

/**
 * Creates an HTTP server for some handlers; it does not listen yet. Bodies are read before their call starts, as tRPC
 * would keep each chunk as an object of its own.
 * @example await listen(createRpcServer({ rank: serveRank }, { limits }), { host: '10.1.0.43', port: 7340 });
 */
export function createRpcServer(
  handlers: RpcHandlers,
  {
    limits,
    maxBytes = DEFAULT_MAX_MESSAGE_BYTES,
    keepAliveMs,
    requestTimeoutMs,
    onError,
  }: RpcServerOptions,
): Server {
  const handler = createHTTPHandler({
    router: buildRouter(handlers),
    basePath: RPC_PATH,
    // A batch would multiply what one request takes; no daemon sends any.
    allowBatching: false,
    onError: ({ error, path }) => onError?.(path ?? '', error.code),
  });
  const serveCall = async (req: CallRequest, res: ServerResponse): Promise<void> => {
    const reservation = new BodyReservation(limits.memory);
    res.once('close', () => reservation.release());
    const body = await readBody(req, maxBytes, BODY_TIMEOUT_MS, reservation);
    if (body.ok) {
      req.body = body.val.toString();
      handler(req, res);
    } else if (!res.destroyed) {
      onError?.(req.url ?? '', body.val.reason);
      refuseCall(res, body.val);
    }
  };
  return createBoundedServer(
    {
      ...(keepAliveMs !== undefined && { keepAliveTimeout: keepAliveMs }),
      limits,
      port: 'daemons',
      requestTimeoutMs,
    },
    (req: CallRequest, res) => {
      if (req.method === 'POST' && req.headers['content-type']?.startsWith(JSON_TYPE))
        return void serveCall(req, res);
      // What else has a body is answered without it.
      req.body = '';
      handler(req, res);
    },
  );
}
