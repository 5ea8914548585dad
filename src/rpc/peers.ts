/** Clients of other daemons, one for each address, all over the same kept connections. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import type { Dispatcher } from 'undici';
import { isGivenUp } from '../core/errors/index.js';
import type { AskRelay } from '../core/published/index.js';
import type { KeptConnections } from '../runtime/kept-connections.js';
import { RPC_PATH } from './consts.js';
import type { DaemonRouter } from './router.js';

/** A client of one daemon. */
export type PeerClient = TRPCClient<DaemonRouter>;

/** Calls other daemons by address. */
export interface Peers {
  at(address: string): PeerClient;
}

/**
 * Asks relays for what is published.
 * @example new RelayedSource({ ...parts, ask: askRelay(peers) })
 */
export function askRelay(peers: Peers): AskRelay {
  return (address, ask, withinMs) =>
    peers.at(address).published.query(ask, { signal: AbortSignal.timeout(withinMs) });
}

/** Clients kept at once: more than any fleet has daemons. */
const MAX_CLIENTS = 4096;

/** The part of fetch that trpc's link uses. */
interface FetchInit {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/**
 * What trpc needs of fetch, straight on kept connections: the whole of fetch costs several times as
 * much processor time a call (docs/EXPERIMENTS.md).
 */
function plainFetch(connections: KeptConnections) {
  return (url: string, init: FetchInit = {}): Promise<object> => {
    const { origin, pathname, search } = new URL(url);
    const call = {
      origin,
      path: pathname + search,
      method: (init.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: init.headers ?? {},
      body: init.body ?? null,
      signal: init.signal ?? null,
    };
    const read = async ({ statusCode, body }: Dispatcher.ResponseData): Promise<object> => {
      const data = await body.json();
      return { ok: statusCode < 400, status: statusCode, json: () => Promise.resolve(data) };
    };
    // trpc passes a time-out on as a plain abort. Calls are else ended with the task that made them, where new connections
    // cost little.
    return connections.call(call, read, isGivenUp);
  };
}

/**
 * Makes the clients; each is made once and holds no connection of its own.
 * @example await peers.at('127.0.0.1:7001').hello.query(undefined, { signal })
 */
export function createPeers(connections: KeptConnections): Peers {
  const clients = new Map<string, PeerClient>();
  const fetch = plainFetch(connections) as never;
  return {
    at(address) {
      const known = clients.get(address);
      if (known) return known;
      // Addresses of replaced instances are never asked for again.
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
