/** Stops the reads of a socket while it is paused: Node would read on once, into a buffer that nobody counts. */
import type { Socket } from 'node:net';

/** The parts of a socket's handle that Node itself uses to stop reads; they are not in its types. */
interface ReadHandle {
  reading: boolean;
  /** Returns an error code, or 0. */
  readStart(): number;
  readStop(): number;
}

function handleOf(socket: Socket): ReadHandle | undefined {
  const { _handle: handle } = socket as { readonly _handle?: ReadHandle | null };
  return socket.destroyed || !handle ? undefined : handle;
}

function stopReads(socket: Socket): void {
  const handle = handleOf(socket);
  if (!handle?.reading) return;
  handle.reading = false;
  handle.readStop();
}

function startReads(socket: Socket): void {
  const handle = handleOf(socket);
  if (!handle || handle.reading) return;
  handle.reading = true;
  if (handle.readStart() !== 0) socket.destroy();
}

/**
 * Leaves what arrives on a paused socket unread. A client that leaves meanwhile is noticed once the socket is resumed
 * or written to.
 * @example stopReadsWhilePaused(socket); socket.pause();
 */
export function stopReadsWhilePaused(socket: Socket): void {
  const read = socket._read.bind(socket);
  socket._read = (size) => {
    if (!socket.isPaused()) read(size);
  };
  socket.on('pause', () => stopReads(socket));
  socket.on('resume', () => {
    if (!socket.isPaused()) startReads(socket);
  });
}
