/** Connections to endpoints, and classification of connection errors. */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { systemClock } from '../../core/clock/index.js';
import { CONNECT_TIMEOUT_MS, ENDPOINT_READ_RATE } from '../consts.js';
import { ReadAllowance } from '../../runtime/read-allowance.js';

/** Error code of undici for a connection that broke during a request. */
const BROKEN_CONNECTION = 'UND_ERR_SOCKET';

/** High-water mark of a socket, bytes: so low that Node stops reading after each chunk. */
const READ_AHEAD_BYTES = 1;

/**
 * Defers each read of a socket to the next turn of the event loop. If a reset arrives directly after some
 * bytes and the socket is still being read at the end of that turn, libuv reports the end of the stream and
 * the reset is lost; a read in the next turn fails with the reset.
 */
function readOncePerTurn(socket: Socket, allowance: ReadAllowance): void {
  const read = socket._read.bind(socket);
  let seenBytes = 0;
  socket._read = (size) => {
    setImmediate(() => {
      const lastBytes = socket.bytesRead - seenBytes;
      seenBytes = socket.bytesRead;
      allowance.run(lastBytes, () => {
        if (!socket.destroyed) read(size);
      });
    });
  };
}

/**
 * Creates a connector whose connections report a reset as an error, never as the end of a response. A
 * response without a length ends with its connection, and undici treats ECONNRESET after the response
 * headers as a normal end; another error code makes the response fail.
 * @example new Pool(origin, { connect: createEndpointConnector() })
 */
export function createEndpointConnector(): buildConnector.connector {
  // undici passes unknown options on to net.connect, although its types omit them.
  const socketOptions = { highWaterMark: READ_AHEAD_BYTES } as buildConnector.BuildOptions;
  const connect = buildConnector({
    ...socketOptions,
    timeout: CONNECT_TIMEOUT_MS,
    keepAlive: true,
  });
  const allowance = new ReadAllowance(() => systemClock.nowMs(), ENDPOINT_READ_RATE);
  return (options, callback) =>
    connect(options, (...result) => {
      const socket = result[1] as Socket | null;
      if (socket) readOncePerTurn(socket, allowance);
      socket?.prependListener('error', (err: NodeJS.ErrnoException) => {
        if (err.code === 'ECONNRESET') err.code = BROKEN_CONNECTION;
      });
      callback(...result);
    });
}

/** Error codes of connections that failed before any byte of a request was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/**
 * Returns true if a failed request was certainly not sent.
 * @example wasNotSent({ code: 'ECONNREFUSED' }) // true
 */
export function wasNotSent(err: unknown): boolean {
  const code = (err as { code?: unknown } | null)?.code;
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
}
