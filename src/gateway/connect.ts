/** Connections to endpoints. */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { CONNECT_MS } from './consts.js';

/** Code that undici gives to a connection that broke under a request. */
const BROKEN = 'UND_ERR_SOCKET';

/**
 * Opens connections whose resets are never taken for the end of an answer. An answer without a length
 * ends with its connection, and undici takes a reset there for an ordinary end as soon as the head has
 * come; with another code on the error it fails the answer instead.
 * @example new Pool(origin, { connect: endpointConnector() })
 */
export function endpointConnector(): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_MS, keepAlive: true });
  return (options, callback) =>
    connect(options, (...result) => {
      const socket = result[1] as Socket | null;
      socket?.prependListener('error', (err: NodeJS.ErrnoException) => {
        if (err.code === 'ECONNRESET') err.code = BROKEN;
      });
      callback(...result);
    });
}
