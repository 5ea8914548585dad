/** Serves a daemon's calls to others by HTTP. */
import { createServer, type Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { RPC_PATH } from './consts.js';
import { buildRouter, type DaemonCalls } from './router.js';

/** Largest message, bytes: a map of 16 layers, 129 ranks and 3 experts takes 22 KB. */
const MAX_MESSAGE_BYTES = 1024 * 1024;

/**
 * A server of some calls, to be told where it listens.
 * @example await listen(serveRpc({ rank: serveRank }), { host: '10.1.0.43', port: 7340 });
 */
export function serveRpc(calls: DaemonCalls): Server {
  const router = buildRouter(calls);
  const rpc = createHTTPHandler({ router, basePath: RPC_PATH, maxBodySize: MAX_MESSAGE_BYTES });
  return createServer({ requestTimeout: 0 }, rpc);
}
