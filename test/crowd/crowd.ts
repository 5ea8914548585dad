/** Crowds of clients: each connection sends its bytes as fast as they are taken, and stays open. */
import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** What a crowd sends. */
export interface Crowd {
  readonly connections: number;
  /** Bytes that each connection sends. */
  readonly bytes: Buffer;
  /** Bytes that follow later on the same connection, after a pause. */
  readonly later?: Buffer;
  /** Whether the clients leave what they are sent unread. */
  readonly readsNothing?: boolean;
  /** Whether a client whose connection was closed comes back at once. */
  readonly comesBack?: boolean;
  /** Time for which the crowd goes on after its bytes were sent, ms. */
  readonly staysMs?: number;
}

/** A crowd whose connections are open. */
export interface OpenCrowd {
  /** Resolves once all bytes are sent, or no more of them are taken. */
  readonly sent: Promise<void>;
  /** Answers that were read, by status; `closed` are connections that the process closed. */
  readonly seen: () => string;
  leave(): void;
}

/** Time without progress after which the rest of a crowd's bytes is not taken, ms. */
const STALLED_MS = 1500;
/** Longest time that a crowd sends, ms. */
const MAX_SENDING_MS = 12_000;
const POLL_MS = 50;
/** Pause before the later bytes, ms. */
const LATER_MS = 500;
/** Pause before a client comes back, ms. */
const RETURN_MS = 20;
/** Connections that are opened at once, so that the queue of new connections does not overflow. */
const OPENED_AT_ONCE = 100;
/** Bytes of an answer that are kept to read its status. */
const KEPT_BYTES = 16;

/**
 * Opens a crowd at an address.
 * @example const crowd = openCrowd('127.0.0.1', 8227, { connections: 20, bytes }); await crowd.sent;
 */
export function openCrowd(host: string, port: number, crowd: Crowd): OpenCrowd {
  const sockets = new Set<Socket>();
  const answers = new Map<string, number>();
  const count = (kind: string): void => void answers.set(kind, (answers.get(kind) ?? 0) + 1);
  let hasLeft = false;
  let flushed = 0;
  let takenBytes = 0;

  const join = (): void => {
    if (hasLeft) return;
    const socket = connect(port, host);
    sockets.add(socket);
    let start = '';
    socket.on('error', () => undefined);
    if (crowd.readsNothing) socket.pause();
    socket.on('data', (bytes: Buffer) => {
      if (start.length >= KEPT_BYTES) return;
      start += bytes.toString('latin1', 0, KEPT_BYTES);
      if (start.length >= KEPT_BYTES) count(start.slice(9, 12));
    });
    if (crowd.readsNothing) socket.pause();
    socket.once('close', () => {
      sockets.delete(socket);
      takenBytes += socket.bytesWritten;
      count('closed');
      if (crowd.comesBack) setTimeout(join, RETURN_MS);
    });
    socket.write(crowd.bytes, () => {
      if (!crowd.later) return void (flushed += 1);
      setTimeout(() => socket.write(crowd.later ?? '', () => (flushed += 1)), LATER_MS);
    });
  };

  /** Bytes that were taken from all connections so far. */
  const progress = (): number => {
    let open = 0;
    for (const { bytesWritten, writableLength } of sockets) open += bytesWritten - writableLength;
    return takenBytes + open;
  };

  const send = async (): Promise<void> => {
    for (let i = 0; i < crowd.connections; i += 1) {
      join();
      if (i % OPENED_AT_ONCE === OPENED_AT_ONCE - 1) await wait(POLL_MS);
    }
    const startedAtMs = performance.now();
    let progressAtMs = startedAtMs;
    let before = -1;
    while (flushed < crowd.connections && performance.now() - startedAtMs < MAX_SENDING_MS) {
      const now = progress();
      if (now !== before) progressAtMs = performance.now();
      before = now;
      if (performance.now() - progressAtMs > STALLED_MS) return;
      await wait(POLL_MS);
    }
  };

  return {
    sent: send(),
    seen: () => [...answers].map(([kind, times]) => `${times} ${kind}`).join(', ') || 'nothing',
    leave: () => {
      hasLeft = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Bytes of a body in chunks of one size, without the last chunk. */
export function chunks(bodyBytes: number, chunkBytes: number, extension = ''): string {
  const chunk = `${chunkBytes.toString(16)}${extension}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return chunk.repeat(Math.floor(bodyBytes / chunkBytes));
}

/**
 * A crowd of which each connection sends a text, byte by character.
 * @example crowdOf(40, head + chunks(160_000, 1))
 */
export function crowdOf(connections: number, text: string, more: Partial<Crowd> = {}): Crowd {
  return { connections, bytes: Buffer.from(text, 'latin1'), ...more };
}
