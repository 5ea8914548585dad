/** Connection of an agent to its model endpoint. */
import type { ConnectionPools } from '../runtime/index.js';

/** Calls from an agent to its endpoint. */
export interface Endpoint {
  /** Reads a JSON document such as the rank's state with GET. */
  read(path: string): Promise<unknown>;
  /** Sends an order with POST; returns the response's status and JSON. */
  order(path: string, body: object): Promise<{ status: number; data: unknown }>;
}

/** Timeout of a response, ms. */
const RESPONSE_TIMEOUT_MS = 2000;

/**
 * Creates the connection to an endpoint.
 * @example await connectEndpoint(connections, 'http://10.1.0.4:8000').read('/state');
 */
export function connectEndpoint(connections: ConnectionPools, origin: string): Endpoint {
  const baseRequest = {
    origin,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  };
  return {
    read: (path) =>
      connections.call({ ...baseRequest, path, method: 'GET' }, (res) => res.body.json()),
    order: (path, body) =>
      connections.call(
        {
          ...baseRequest,
          path,
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
        },
        async (res) => ({ status: res.statusCode, data: await res.body.json() }),
      ),
  };
}
