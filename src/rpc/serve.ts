/** Serves a daemon's RPC handlers over HTTP. */
import type { Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createBoundedServer } from '../runtime/bounded-server.js';
import { RPC_PATH } from './consts.js';
import { buildRouter, type RpcHandlers } from './router.js';

/** Default message limit, bytes: a map of 16 layers, 129 ranks and 3 experts takes 12 KB. */
const DEFAULT_MAX_MESSAGE_BYTES = 1024 * 1024;

/** Options of an RPC server. */
export interface RpcServerOptions {
  /** Largest message, bytes. */
  readonly maxBytes?: number;
  /** How long an idle connection is kept, ms; Node's default if omitted. */
  readonly keepAliveMs?: number;
  /** Maximum time in which a request must arrive whole, ms. */
  readonly requestTimeoutMs?: number;
  /** Called for each failed call, with its procedure and tRPC error code. */
  readonly onError?: (path: string, code: string) => void;
}

/**
 * Creates an HTTP server for some handlers; it does not listen yet.
 * @example await listen(createRpcServer({ rank: serveRank }), { host: '10.1.0.43', port: 7340 });
 */
export function createRpcServer(
  handlers: RpcHandlers,
  {
    maxBytes = DEFAULT_MAX_MESSAGE_BYTES,
    keepAliveMs,
    requestTimeoutMs,
    onError,
  }: RpcServerOptions = {},
): Server {
  const handler = createHTTPHandler({
    router: buildRouter(handlers),
    basePath: RPC_PATH,
    maxBodySize: maxBytes,
    onError: ({ error, path }) => onError?.(path ?? '', error.code),
  });
  return createBoundedServer(
    {
      ...(keepAliveMs !== undefined && { keepAliveTimeout: keepAliveMs }),
      requestTimeoutMs,
    },
    handler,
  );
}
