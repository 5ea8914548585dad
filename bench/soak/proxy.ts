/**
 * A loopback proxy that injects network faults: delays, resets, one-direction blocks, unresponsive
 * connections.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Host and port of one end of a connection. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Directions of a connection, as seen by the client. */
export type Direction = 'out' | 'back';

/** Faults that a proxy applies to its connections. */
export interface LinkState {
  /** Delay of each chunk, ms. */
  readonly delayMs: number;
  /** Directions in which data is held back until the link is healthy. */
  readonly blocked: readonly Direction[];
}

/** Link state without faults. */
export const HEALTHY_LINK: LinkState = { delayMs: 0, blocked: [] };

/** Poll interval for held-back data to check whether its direction is unblocked, ms. */
const BLOCKED_POLL_MS = 20;

/**
 * Resets a connection. A socket that is already ending is destroyed instead: Node fails to reset it
 * (EINVAL) and never releases it, which keeps this process alive.
 * @example resetConnection(socket);
 */
export function resetConnection(socket: Socket): void {
  const isClosing = socket.writableEnded && !socket.writableFinished;
  if (isClosing) socket.destroy();
  else socket.resetAndDestroy();
}

/**
 * Time for which bytes for the client may stay unread before both connections are reset, ms; an
 * endpoint cuts off an answer after some time, and callers wait for 3 s.
 */
const UNREAD_TIMEOUT_MS = 1200;
const UNREAD_TICK_MS = 200;

/** Bytes that a socket has handed to the system. */
function sentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

/** Forwards connections from a listening address to a target and applies faults to them. */
export class LoopbackProxy {
  /**
   * Called when connections are reset because the client left bytes unread for `unreadMs`; without
   * it, they are not reset.
   */
  onUnread: ((unreadMs: number) => void) | undefined;
  private state = HEALTHY_LINK;
  private readonly unread = new WeakSet<Socket>();
  private isClosed = false;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly listen: Address,
    private readonly target: Address,
  ) {
    server.on('connection', (socket) => this.connectThrough(socket));
  }

  /**
   * Starts a proxy; resolves when it listens.
   * @example const proxy = await LoopbackProxy.start(listen, target); proxy.setLinkState({ delayMs: 50, blocked: [] });
   */
  static async start(listen: Address, target: Address): Promise<LoopbackProxy> {
    const server = createServer();
    const proxy = new LoopbackProxy(server, listen, target);
    await proxy.open();
    return proxy;
  }

  private open(): Promise<void> {
    const { server, listen } = this;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(listen.port, listen.host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Resets every connection and refuses new ones for `downtimeMs`, like an instance whose process
   * crashed.
   */
  async simulateCrash(downtimeMs: number): Promise<void> {
    if (!this.server.listening) return;
    this.server.close();
    this.reset();
    await sleep(downtimeMs);
    if (!this.isClosed) await this.open();
  }

  /**
   * Applies a state to all connections; held-back data is delivered once its direction is
   * unblocked.
   */
  setLinkState(state: LinkState): void {
    this.state = state;
  }

  /** Resets every open connection. */
  reset(): void {
    for (const socket of this.sockets) resetConnection(socket);
  }

  /** Makes every open connection unresponsive for good, without a reset; new ones work. */
  blackholeConnections(): void {
    for (const socket of this.sockets) this.silenced.add(socket);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.isClosed = true;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private connectThrough(clientSocket: Socket): void {
    const targetSocket = connect(this.target.port, this.target.host);
    for (const socket of [clientSocket, targetSocket]) {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    }
    this.forward(clientSocket, targetSocket, 'out');
    this.forward(targetSocket, clientSocket, 'back');
  }

  /** Forwards one direction, chunk by chunk and in order. */
  private forward(from: Socket, to: Socket, direction: Direction): void {
    let previous: Promise<void> = Promise.resolve();
    const after = (act: () => void): void => {
      previous = previous
        .then(() => this.untilForwardable(direction, to))
        .then(() => {
          if (!this.silenced.has(from)) act();
        });
    };
    from.on('data', (piece) =>
      after(() => {
        if (to.destroyed || to.write(piece) || direction === 'out') return;
        this.resetUnlessRead(from, to);
        if (from.isPaused()) return;
        // Pieces that pile up are written in one go, which shows no progress until its end.
        from.pause();
        const resume = (): void => void from.resume();
        to.once('drain', resume).once('close', resume);
      }),
    );
    from.on('end', () => after(() => to.end()));
    // A reset is forwarded as a reset; data held back before it is lost.
    from.on('error', () => {
      if (!this.silenced.has(from)) resetConnection(to);
    });
    from.on('close', (hadError) => {
      if (!hadError) after(() => to.end());
    });
  }

  /**
   * Resets both connections if the client reads none of the pending bytes in time. Counts ticks, so
   * that a stall of this process does not count.
   */
  private resetUnlessRead(from: Socket, to: Socket): void {
    if (!this.onUnread || this.unread.has(to)) return;
    this.unread.add(to);
    let sent = sentBytes(to);
    let ticks = 0;
    const timer = setInterval(() => {
      ticks = sentBytes(to) === sent ? ticks + 1 : 0;
      sent = sentBytes(to);
      if (ticks * UNREAD_TICK_MS < UNREAD_TIMEOUT_MS) return;
      end();
      this.onUnread?.(UNREAD_TIMEOUT_MS);
      resetConnection(from);
      resetConnection(to);
    }, UNREAD_TICK_MS);
    const end = (): void => {
      clearInterval(timer);
      to.off('drain', end).off('close', end);
      this.unread.delete(to);
    };
    to.once('drain', end).once('close', end);
  }

  private async untilForwardable(direction: Direction, to: Socket): Promise<void> {
    if (this.state.delayMs > 0) await sleep(this.state.delayMs);
    while (this.state.blocked.includes(direction) && !to.destroyed) await sleep(BLOCKED_POLL_MS);
  }
}
