/** Connection of an agent to its model endpoint. */
import type { ConnectionPools } from '../runtime/index.js';

/** Calls from an agent to its endpoint. */
export interface Endpoint {
  /** Reads a JSON document such as the rank's state with GET. */
  read(path: string): Promise<unknown>;
  /** Sends an order with POST; returns the response's status and JSON. */
  order(path: string, body: object): Promise<{ status: number; data: unknown }>;
}

/** Timeout of a call, ms. */
const CALL_TIMEOUT_MS = 2000;
/** Maximum size of a response, bytes: the counts of 60 layers of 64 experts take 65 KB. */
const MAX_RESPONSE_BYTES = 1024 * 1024;

const READ_LIMITS = {
  call: 'endpoint-read',
  maxBytes: MAX_RESPONSE_BYTES,
  maxMs: CALL_TIMEOUT_MS,
};
const ORDER_LIMITS = { ...READ_LIMITS, call: 'endpoint-order' };

/**
 * Creates the connection to an endpoint.
 * @example await connectEndpoint(connections, 'http://10.1.0.4:8000').read('/state');
 */
export function connectEndpoint(connections: ConnectionPools, origin: string): Endpoint {
  return {
    read: async (path) => {
      const call = { origin, path, method: 'GET' as const, limits: READ_LIMITS };
      return JSON.parse((await connections.call(call)).text) as unknown;
    },
    order: async (path, body) => {
      const { status, text } = await connections.call({
        origin,
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        limits: ORDER_LIMITS,
      });
      return { status, data: JSON.parse(text) as unknown };
    },
  };
}
