/** A loopback proxy that harms the connections that go through it: delays, resets, cuts one way, silences. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Where a connection goes to or comes from. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** The two directions of a connection, as whoever opened it sees them. */
export type Way = 'out' | 'back';

/** What a proxy does to its connections now. */
export interface LinkState {
  /** Time by which each piece is late, ms. */
  readonly delayMs: number;
  /** Directions in which nothing gets through until the link is whole again. */
  readonly cut: readonly Way[];
}

/** A link that harms nothing. */
export const WHOLE: LinkState = { delayMs: 0, cut: [] };

/** How often a piece that is held up looks whether the link is whole again, ms. */
const HELD_POLL_MS = 20;

/**
 * Resets a connection. One whose end is under way is closed: Node fails to reset it (EINVAL) and keeps it for
 * ever, and this process with it.
 * @example resetConnection(socket);
 */
export function resetConnection(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}

/** One proxy. */
export class LoopbackProxy {
  private state = WHOLE;
  private isClosed = false;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly listen: Address,
    private readonly target: Address,
  ) {
    server.on('connection', (socket) => this.join(socket));
  }

  /**
   * Starts a proxy.
   * @example const proxy = await LoopbackProxy.start(listen, target); proxy.set({ delayMs: 50, cut: [] });
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

  /** Resets every connection and refuses new ones for a while, as an instance whose process fell. */
  async fall(awayMs: number): Promise<void> {
    if (!this.server.listening) return;
    this.server.close();
    this.reset();
    await sleep(awayMs);
    if (!this.isClosed) await this.open();
  }

  /** From now on connections are treated so; pieces that are held up go on when the link is whole. */
  set(state: LinkState): void {
    this.state = state;
  }

  /** Resets every connection that is open. */
  reset(): void {
    for (const socket of this.sockets) resetConnection(socket);
  }

  /** Silences every connection that is open, for good and without a reset; new ones work. */
  silence(): void {
    for (const socket of this.sockets) this.silenced.add(socket);
  }

  /** Ends the proxy and its connections. */
  close(): void {
    this.isClosed = true;
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(near: Socket): void {
    const far = connect(this.target.port, this.target.host);
    for (const socket of [near, far]) {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    }
    this.carry(near, far, 'out');
    this.carry(far, near, 'back');
  }

  /** Carries one direction, piece by piece and in order. */
  private carry(from: Socket, to: Socket, way: Way): void {
    let last: Promise<void> = Promise.resolve();
    const after = (act: () => void): void => {
      last = last
        .then(() => this.pass(way, to))
        .then(() => {
          if (!this.silenced.has(from)) act();
        });
    };
    from.on('data', (piece) => after(() => void (to.destroyed || to.write(piece))));
    from.on('end', () => after(() => to.end()));
    // A reset is told as one; what was held up before it is lost.
    from.on('error', () => {
      if (!this.silenced.has(from)) resetConnection(to);
    });
    from.on('close', (hadError) => {
      if (!hadError) after(() => to.end());
    });
  }

  private async pass(way: Way, to: Socket): Promise<void> {
    if (this.state.delayMs > 0) await sleep(this.state.delayMs);
    while (this.state.cut.includes(way) && !to.destroyed) await sleep(HELD_POLL_MS);
  }
}
