/** Connections to endpoints, and what a failed one proves. */
import type { Socket } from 'node:net';
import { buildConnector, type Dispatcher } from 'undici';
import { CONNECT_MS } from './consts.js';

/** Code that undici gives to a connection that broke under a request. */
const BROKEN = 'UND_ERR_SOCKET';

/** Bytes that a connection reads ahead: so few that Node stops reading after each piece. */
const READ_AHEAD_BYTES = 1;

/**
 * Makes a connection go on reading in the next turn of the event loop only. When a reset comes right
 * behind some bytes, libuv reports the end of the stream in the turn in which it reads the bytes, if the
 * connection is still being read at the end of that turn, and the reset is never seen. The read of the
 * next turn fails with it.
 */
function readOncePerTurn(socket: Socket): void {
  const read = socket._read.bind(socket);
  socket._read = (size) => {
    setImmediate(() => {
      if (!socket.destroyed) read(size);
    });
  };
}

/**
 * Opens connections whose resets are never taken for the end of an answer. An answer without a length
 * ends with its connection, and undici takes a reset there for an ordinary end as soon as the head has
 * come; with another code on the error it fails the answer instead.
 * @example new Pool(origin, { connect: endpointConnector() })
 */
export function endpointConnector(): buildConnector.connector {
  // undici passes what it does not know on to net.connect; its types do not say so.
  const socketOptions = { highWaterMark: READ_AHEAD_BYTES } as buildConnector.BuildOptions;
  const connect = buildConnector({ ...socketOptions, timeout: CONNECT_MS, keepAlive: true });
  return (options, callback) =>
    connect(options, (...result) => {
      const socket = result[1] as Socket | null;
      if (socket) readOncePerTurn(socket);
      socket?.prependListener('error', (err: NodeJS.ErrnoException) => {
        if (err.code === 'ECONNRESET') err.code = BROKEN;
      });
      callback(...result);
    });
}

/** A handler that tells when its request is about to be written to a connection. */
function tellingStart(
  next: Dispatcher.DispatchHandler,
  onStart: () => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (...args) => {
      onStart();
      return next.onRequestStart?.(...args);
    },
    onRequestUpgrade: (...args) => next.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => next.onResponseStart?.(...args),
    onResponseData: (...args) => next.onResponseData?.(...args),
    onResponseEnd: (...args) => next.onResponseEnd?.(...args),
    onResponseError: (...args) => next.onResponseError?.(...args),
  };
}

/**
 * Connections that tell when a request goes out: until then it waits for one to be opened or to come free, and nothing of it has
 * left this process.
 * @example await withStart(pool, () => (isOut = true)).request(options);
 */
export function withStart(pool: Dispatcher, onStart: () => void): Dispatcher {
  return pool.compose(
    (dispatch) => (options, handler) => dispatch(options, tellingStart(handler, onStart)),
  );
}

/** Connection errors at which no byte of a request has left. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/**
 * Whether a failed request certainly never left this process.
 * @example wasNotSent({ code: 'ECONNREFUSED' }) // true
 */
export function wasNotSent(err: unknown): boolean {
  const code = (err as { code?: unknown } | null)?.code;
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
}
