/** Serves a daemon's calls to others by HTTP. */
import { createServer, type Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { RPC_PATH } from './consts.js';
import { buildRouter, type DaemonCalls } from './router.js';

/** Largest message where nothing else is said, bytes: a map of 16 layers, 129 ranks and 3 experts takes 12 KB. */
const MAX_MESSAGE_BYTES = 1024 * 1024;

/** What a server of calls does in its own way. */
export interface RpcOptions {
  /** Largest message, bytes. */
  readonly maxBytes?: number;
  /** Time that an idle connection is kept, ms; Node's own where left out. */
  readonly keepAliveMs?: number;
  /** Called for each call that fails, with its name and the kind of error. */
  readonly onError?: (path: string, code: string) => void;
}

/**
 * A server of some calls, to be told where it listens.
 * @example await listen(serveRpc({ rank: serveRank }), { host: '10.1.0.43', port: 7340 });
 */
export function serveRpc(
  calls: DaemonCalls,
  { maxBytes = MAX_MESSAGE_BYTES, keepAliveMs, onError }: RpcOptions = {},
): Server {
  const rpc = createHTTPHandler({
    router: buildRouter(calls),
    basePath: RPC_PATH,
    maxBodySize: maxBytes,
    onError: ({ error, path }) => onError?.(path ?? '', error.code),
  });
  const keepAlive = keepAliveMs === undefined ? {} : { keepAliveTimeout: keepAliveMs };
  return createServer({ requestTimeout: 0, ...keepAlive }, rpc);
}
