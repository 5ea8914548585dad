/** The agent's connection to its model engine. */
import type { Dispatcher } from 'undici';

/** What the agent asks of its engine. */
export interface Endpoint {
  /** GET of a JSON document: a rank's state. */
  read(path: string): Promise<unknown>;
  /** POST of an order; the answer's status and JSON. */
  order(path: string, body: object): Promise<{ status: number; data: unknown }>;
}

/** Time that an engine may take for an answer, ms. */
const ANSWER_MS = 2000;

/**
 * Connects to an engine.
 * @example await connectEndpoint(dispatcher, 'http://10.1.0.4:8000').read('/state');
 */
export function connectEndpoint(dispatcher: Dispatcher, origin: string): Endpoint {
  const short = { origin, headersTimeout: ANSWER_MS, bodyTimeout: ANSWER_MS };
  return {
    read: async (path) => {
      const res = await dispatcher.request({ ...short, path, method: 'GET' });
      return res.body.json();
    },
    order: async (path, body) => {
      const res = await dispatcher.request({
        ...short,
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
      });
      return { status: res.statusCode, data: await res.body.json() };
    },
  };
}
