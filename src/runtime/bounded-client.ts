/** One connection of a pool, closed as soon as a response on it exceeds its size limit. */
import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { ResponseLimitError, type ResponseLimits } from './response-limits.js';
import { interceptReads, type PoolClientOptions } from './socket-reads.js';

/** Options of a request; the limits of its response are passed as its opaque value. */
type BoundedDispatchOptions = Dispatcher.DispatchOptions & { readonly opaque?: unknown };

/**
 * Maximum number of bytes that are parsed at once. The parser goes on to the end of what it is given after
 * it has failed the response, at the cost of an error for each further header.
 */
const MAX_PIECE_BYTES = 4096;

/**
 * Counts the bytes that the parser reads from the socket. The parser's own limits leave out interim
 * responses and chunk extensions, which it skips without end.
 */
class BoundedClient extends Client {
  private limits: ResponseLimits | undefined;
  /** Bytes that the response may still have. */
  private bytesLeft = 0;

  constructor(
    private readonly target: URL,
    { connect, ...options }: PoolClientOptions,
  ) {
    super(target, {
      ...options,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...result) => {
          if (result[1]) this.limitReads(result[1]);
          callback(...result);
        }),
    });
  }

  override dispatch(options: BoundedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    this.limits = options.opaque as ResponseLimits;
    this.bytesLeft = this.limits.maxBytes;
    return super.dispatch(options, handler);
  }

  private limitReads(socket: Socket): void {
    this.bytesLeft = this.limits?.maxBytes ?? 0;
    interceptReads(socket, (read) => {
      const piece = read(Math.min(socket.readableLength, MAX_PIECE_BYTES) || undefined);
      this.bytesLeft -= piece?.length ?? 0;
      if (this.bytesLeft >= 0) return piece;
      socket.destroy(this.createError());
      return null;
    });
  }

  private createError(): ResponseLimitError {
    const { call = 'a request', maxBytes = 0 } = this.limits ?? {};
    const exceeded = `is larger than ${maxBytes} bytes`;
    return new ResponseLimitError('oversized', call, this.target.origin, exceeded);
  }
}

/**
 * Creates the client of one connection of a pool; each request must name its limits as `opaque`.
 * @example new Pool(origin, { factory: createBoundedClient })
 */
export function createBoundedClient(origin: URL, options: object): Dispatcher {
  return new BoundedClient(origin, options as PoolClientOptions);
}
