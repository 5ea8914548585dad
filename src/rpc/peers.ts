/** tRPC clients of other daemons, one per address, over shared keep-alive connections. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import type { Dispatcher } from 'undici';
import { isAbortOrTimeout } from '../core/errors/index.js';
import type { SendRelayRequest } from '../core/published/index.js';
import type { ConnectionPools } from '../runtime/connection-pools.js';
import { DEFAULT_MAX_RESPONSE_BYTES, MAX_RPC_CALL_MS, RPC_PATH } from './consts.js';
import type { DaemonRouter } from './router.js';

/** A client of one daemon. */
export type PeerClient = TRPCClient<DaemonRouter>;

/** Clients of other daemons by address, `host:port`. */
export interface Peers {
  at(address: string): PeerClient;
}

/**
 * Returns a function that requests the published state from a relay.
 * @example new RelayedSource({ ...deps, ask: requestFromRelay(peers) })
 */
export function requestFromRelay(peers: Peers): SendRelayRequest {
  return (address, request, timeoutMs) =>
    peers.at(address).published.query(request, { signal: AbortSignal.timeout(timeoutMs) });
}

/** Clients cached at once: more than any fleet has daemons. */
const MAX_CLIENTS = 4096;

/** The options of fetch that tRPC's HTTP link sets. */
interface FetchOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/**
 * The subset of fetch that tRPC needs, on keep-alive connections: the full fetch costs several
 * times as much CPU time per call (docs/EXPERIMENTS.md).
 */
function createFetch(connections: ConnectionPools, maxBytes: number) {
  // Most callers limit the time of a call further by a signal.
  const limits = { call: 'rpc', maxBytes, maxMs: MAX_RPC_CALL_MS };
  return async (url: string, init: FetchOptions = {}): Promise<object> => {
    const { origin, pathname, search } = new URL(url);
    const request = {
      origin,
      path: pathname + search,
      method: (init.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: init.headers ?? {},
      body: init.body ?? null,
      signal: init.signal ?? null,
      limits,
    };
    // tRPC reports a timeout as a plain abort, so every abort counts as an unresponsive connection.
    // Other aborts come only when the calling task ends, where new connections cost little.
    const { status, text } = await connections.call(request, isAbortOrTimeout);
    const data = JSON.parse(text) as unknown;
    return { ok: status < 400, status, json: () => Promise.resolve(data) };
  };
}

/**
 * Creates the clients on first use; they are cached and hold no connections of their own.
 * @example await peers.at('127.0.0.1:7001').hello.query(undefined, { signal })
 */
export function createPeers(
  connections: ConnectionPools,
  maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES,
): Peers {
  const clients = new Map<string, PeerClient>();
  const fetch = createFetch(connections, maxResponseBytes) as never;
  return {
    at(address) {
      const existing = clients.get(address);
      if (existing) return existing;
      // The addresses of replaced instances are never used again, so the cache is simply emptied.
      if (clients.size >= MAX_CLIENTS) clients.clear();
      const link = httpLink({
        url: `http://${address}${RPC_PATH.slice(0, -1)}`,
        fetch,
      });
      const client = createTRPCClient<DaemonRouter>({ links: [link] });
      clients.set(address, client);
      return client;
    },
  };
}
