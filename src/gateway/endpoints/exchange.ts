/**
 * Exchanges with an endpoint: one request and its response on one connection. An endpoint may send a second
 * response, or bytes behind a whole one, in the place of the response to the next request on the connection.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { Client, errors, type Dispatcher, type Pool } from 'undici';
import { systemClock } from '../../core/clock/index.js';
import type { Result } from '../../core/result/index.js';
import type { PoolClientOptions } from '../../runtime/socket-reads.js';
import { MAX_FRAMING_BYTES } from '../consts.js';
import { ResponseMeter, type ReportMisbehaviour } from './response-meter.js';

/** Lowest status of a final response; those below are informational. */
const MIN_FINAL_STATUS = 200;
const CANCELLED = 'the request was cancelled before it was sent';
const ENDED = 'the exchange was ended';
const WRITTEN_ONCE = 'the connection ended after the request was written';
/** Of a dispatcher without `endpointClientFactory`. */
const UNKNOWN_CONNECTION: ConnectionState = { ageMs: 0, requests: 0 };

/** Hooks into one exchange; `Head` is what the caller reads from the response headers. */
export interface ExchangeHooks<Head> {
  /** Called when the request is about to be written; until then no byte of it has left this process. */
  readonly onStart: () => void;
  /**
   * Reads the headers of the final response. An error closes the connection while they are parsed, since the
   * next request may be written to it directly after; the exchange fails with that error.
   */
  readonly readHead: (response: RawHead) => Result<Head, Error>;
}

/** Headers of a final response. */
export interface RawHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly connection: ConnectionState;
}

/** A connection at the moment at which it brings the headers of a response. */
export interface ConnectionState {
  /** Time since it was opened, ms. */
  readonly ageMs: number;
  /** Requests written to it, the one that waits for the response included. */
  readonly requests: number;
}

/** A response whose headers were accepted. */
export interface ExchangeResponse<Head> {
  readonly head: Head;
  readonly body: Dispatcher.ResponseData['body'];
}

/** A request that was handed to a connection pool. */
export interface Exchange<Head> {
  readonly response: Promise<ExchangeResponse<Head>>;
  /** Ends the exchange if it is not complete; a request that was not written yet never is. */
  readonly cancel: () => void;
  /**
   * Ends the exchange and closes its connection, even if the whole response has arrived. A connection that
   * carries a newer request stays open.
   */
  readonly close: () => void;
}

/** Progress of an exchange on its connection; undici passes it on as the opaque value of a request. */
class ConnectionUse {
  client: EndpointClient | undefined;
  /** The connection to which the request is written. */
  socket: Socket | null = null;
  isStarted = false;
  isCancelled = false;
  isComplete = false;
}

/** The client of one connection of a pool; knows which exchange was the last one on it. */
class EndpointClient extends Client {
  /** Meters the responses on the current connection. */
  meter: ResponseMeter | undefined;
  private socket: Socket | null = null;
  private newest: ConnectionUse | undefined;
  private openedAtMs = 0;
  private requests = 0;

  constructor(origin: URL, { connect, ...options }: PoolClientOptions, report: ReportMisbehaviour) {
    super(origin, {
      ...options,
      // Never reached, since the meter has the lower limits.
      maxHeaderSize: 2 * MAX_FRAMING_BYTES,
      connect: (target, callback) =>
        connect(target, (...result) => {
          this.socket = result[1];
          this.openedAtMs = systemClock.nowMs();
          this.requests = 0;
          this.meter = result[1] ? new ResponseMeter(result[1], report) : undefined;
          callback(...result);
        }),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & { readonly opaque?: unknown },
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    if (options.opaque instanceof ConnectionUse) options.opaque.client = this;
    return super.dispatch(options, handler);
  }

  /** Notes that the request of an exchange is written to the connection. */
  noteStarted(use: ConnectionUse): void {
    this.newest = use;
    use.socket = this.socket;
    this.requests += 1;
    this.meter?.startResponse();
  }

  /** Describes the connection now. */
  connectionState(): ConnectionState {
    return { ageMs: systemClock.nowMs() - this.openedAtMs, requests: this.requests };
  }

  /** Closes the connection if no other exchange has started on it since. */
  closeAfter(use: ConnectionUse): void {
    // Without an error a response that ends with its connection would count as complete.
    if (this.newest === use) use.socket?.destroy(new errors.SocketError(ENDED));
  }
}

/**
 * Returns a factory of the clients of a pool of endpoint connections; `report` is called with violations.
 * @example new Pool(origin, { factory: endpointClientFactory(report), connect: createEndpointConnector() })
 */
export function endpointClientFactory(
  report: ReportMisbehaviour,
): (origin: URL, options: object) => Dispatcher {
  return (origin, options) => new EndpointClient(origin, options as PoolClientOptions, report);
}

/** Wraps a handler with the hooks of one exchange. */
function hookedHandler<Head>(
  next: Dispatcher.DispatchHandler,
  use: ConnectionUse,
  hooks: ExchangeHooks<Head>,
  onHead: (head: Head) => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      // Aborting here would close the connection, which is sound.
      if (use.isCancelled) throw new Error(CANCELLED);
      // undici writes a request again whose connection it ended itself.
      if (use.isStarted) throw new Error(WRITTEN_ONCE);
      use.isStarted = true;
      use.client?.noteStarted(use);
      hooks.onStart();
      next.onRequestStart?.(controller, context);
    },
    onResponseStart: (controller, status, headers, message) => {
      if (status >= MIN_FINAL_STATUS) {
        const connection = use.client?.connectionState() ?? UNKNOWN_CONNECTION;
        const head = hooks.readHead({ status, headers, connection });
        if (head.err) return controller.abort(head.val);
        onHead(head.val);
        use.client?.meter?.startBody();
      } else use.client?.meter?.noteInterim();
      next.onResponseStart?.(controller, status, headers, message);
    },
    onRequestUpgrade: (...args) => next.onRequestUpgrade?.(...args),
    onResponseData: (controller, bytes) => {
      use.client?.meter?.noteBody(bytes.length);
      next.onResponseData?.(controller, bytes);
    },
    onResponseEnd: (...args) => {
      use.isComplete = true;
      use.client?.meter?.endResponse();
      next.onResponseEnd?.(...args);
    },
    onResponseError: (...args) => next.onResponseError?.(...args),
  };
}

/**
 * Sends a request on a connection of a pool of `endpointClientFactory`.
 * @example const exchange = startExchange(pool, { method: 'GET', path: '/x' }, hooks);
 */
export function startExchange<Head>(
  pool: Pool,
  options: Dispatcher.RequestOptions,
  hooks: ExchangeHooks<Head>,
): Exchange<Head> {
  const aborter = new AbortController();
  const use = new ConnectionUse();
  let rejectUnsent: (err: Error) => void = () => undefined;
  const response = new Promise<ExchangeResponse<Head>>((resolve, reject) => {
    let head: Head;
    const noteHead = (read: Head): void => void (head = read);
    rejectUnsent = reject;
    pool
      .compose(
        (dispatch) => (opts, next) => dispatch(opts, hookedHandler(next, use, hooks, noteHead)),
      )
      .request({ ...options, opaque: use, signal: aborter.signal })
      .then(({ body }) => resolve({ head, body }), reject);
  });
  const cancel = (): void => {
    use.isCancelled = true;
    // An abort alone makes undici open a new connection, for a request that it then finds aborted.
    if (use.isStarted && !use.isComplete) use.client?.closeAfter(use);
    aborter.abort();
    // undici reports the end of a queued request only when a connection becomes free.
    if (!use.isStarted) rejectUnsent(new Error(CANCELLED));
  };
  const close = (): void => {
    use.client?.closeAfter(use);
    cancel();
  };
  return { response, cancel, close };
}
