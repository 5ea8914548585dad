/** Interception of the reads by which undici takes bytes from a socket. */
import type { Socket } from 'node:net';
import type { Client, buildConnector } from 'undici';

/** Options of a client as a pool creates it. */
export type PoolClientOptions = Client.Options & { readonly connect: buildConnector.connector };

/** Reads from a socket: all that has arrived, or at most `size` bytes. */
export type ReadSocket = (size?: number) => Buffer | null;

/**
 * Replaces the reads that name no size, which are undici's; Node itself names one. A destroyed socket has no more bytes.
 * @example interceptReads(socket, (read) => read(4096));
 */
export function interceptReads(socket: Socket, next: (read: ReadSocket) => Buffer | null): void {
  const read = socket.read.bind(socket) as ReadSocket;
  socket.read = (size?: number): Buffer | null => {
    if (size !== undefined) return read(size);
    return socket.destroyed ? null : next(read);
  };
}
