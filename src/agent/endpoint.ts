/** The agent's connection to its model engine. */
import type { KeptConnections } from '../runtime/index.js';

/** What the agent asks of its engine. */
export interface Endpoint {
  /** GET of a JSON document: a rank's state. */
  read(path: string): Promise<unknown>;
  /** POST of an order; the answer's status and JSON. */
  order(path: string, body: object): Promise<{ status: number; data: unknown }>;
}

/** Time that an engine may take for an answer, ms. */
const RESPONSE_TIMEOUT_MS = 2000;

/**
 * Connects to an engine.
 * @example await connectEndpoint(connections, 'http://10.1.0.4:8000').read('/state');
 */
export function connectEndpoint(connections: KeptConnections, origin: string): Endpoint {
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
