/** Counts the bytes on all sockets of a daemon; in an idle daemon they are the control traffic. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Counts the bytes read and written on open and closed sockets. */
export interface SocketByteCounter {
  track(socket: Socket): void;
  /** Tracks each connection that a server accepts. */
  trackServer(server: Server): void;
  /** Wraps a connector so that its sockets are tracked. */
  connector(connect: buildConnector.connector): buildConnector.connector;
  total(): number;
}

/**
 * Creates a counter that starts at zero.
 * @example const counter = createSocketByteCounter(); metrics.gauge('socket_bytes', counter.total);
 */
export function createSocketByteCounter(): SocketByteCounter {
  const open = new Set<Socket>();
  let closedBytes = 0;
  const track = (socket: Socket): void => {
    open.add(socket);
    socket.once('close', () => {
      open.delete(socket);
      closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  };
  return {
    track,
    trackServer: (server) => void server.on('connection', track),
    connector: (connect) => (options, callback) =>
      connect(options, (...result) => {
        if (result[1]) track(result[1]);
        callback(...(result as [null, Socket]));
      }),
    total: () => [...open].reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, closedBytes),
  };
}
