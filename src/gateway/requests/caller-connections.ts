/**
 * Connections of callers: which responses are due on each, and how it is closed. Nothing is written out of turn: an
 * error that ends a connection is reported behind the responses that are due, or not at all.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Log } from '../../core/logging/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import { discardRequestBody, type DiscardLimits } from '../../runtime/discard-request-body.js';
import {
  HEAD_CHECK_INTERVAL_MS,
  LINGER_MS,
  MAX_MALFORMED_BYTES,
  MAX_REQUESTS_AHEAD,
  PIECE_BYTES,
} from '../consts.js';

/** Statuses for bytes that are no request, by the code of the parser's error; 400 for all others. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const OTHER_STATUS_LINE = '400 Bad Request';

const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The caller closed its side inside a request. */
const CLOSED_EARLY = 'HPE_INVALID_EOF_STATE';

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsDeps {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** Timeout of a head from its first byte, ms. */
  readonly headMs: () => number;
  /** Timeout of a connection on which no request was sent yet, ms, beyond that of a head. */
  readonly firstHeadExtraMs: () => number;
}

interface DueResponse {
  readonly res: ServerResponse;
  readonly id: string;
  /** Lets the request start, or not; undefined once it has. */
  letStart: ((starts: boolean) => void) | undefined;
}

interface Connection {
  readonly socket: Socket;
  /** Responses that are not complete yet, in order. */
  readonly due: Set<DueResponse>;
  newest: IncomingMessage | undefined;
  /** Number of requests on the connection. */
  requests: number;
  /** Requests among those due that wait for their turn. */
  readonly waiting: Set<DueResponse>;
  /** The request that came last among those due. */
  last: DueResponse | undefined;
  isStartingNext: boolean;
  /** Bytes that were read and not parsed. */
  unparsed: Buffer | undefined;
  readonly parse: (bytes: Buffer) => void;
  /** When its bytes were last read again after a pause, ms. */
  resumedAtMs: number;
  /** Whether the rest of its bytes is left unread until it is closed. */
  isAbandoned: boolean;
  /** Resolves when the body of a refused request has ended, or exceeds its limits. */
  discarding: Promise<void> | undefined;
  /** Whether it closes after the responses that are due. */
  isEnding: boolean;
  /** Bytes read when it could no longer be parsed. */
  malformedAtBytes: number | undefined;
  isLingering: boolean;
}

function codeOf(err: NodeJS.ErrnoException): string {
  return err.code ?? 'unknown';
}

/** Whether the error was found by the server, in bytes that it read or for want of them. */
function isCallersFault(code: string): boolean {
  return code.startsWith('HPE_') || code === HEAD_TIMEOUT;
}

/** The connections of one server. */
export class CallerConnections {
  private readonly bySocket = new WeakMap<Socket, Connection>();

  constructor(private readonly deps: CallerConnectionsDeps) {}

  /** Follows a new connection. */
  readonly onConnection = (socket: Socket): void => {
    const connection = this.of(socket);
    // The server calls it after the last response. Closed at once, unread bytes would reset the connection, and
    // the caller might lose the response (RFC 9112, 9.6).
    socket.destroySoon = () => linger(connection);
    // Reading a body resumes the connection.
    socket.on('resume', () => {
      if (mustPause(connection)) socket.pause();
    });
    // Bytes reach the parser in small pieces, so that it can be stopped behind too many requests.
    socket.off('data', connection.parse);
    socket.on('data', (bytes: Buffer) => parseInPieces(connection, bytes));
  };

  /**
   * Adds a request. Returns whether it starts: false if its connection ends before its response. Too many requests
   * at once wait for their turn, with the rest of the connection unread.
   * @example if (!(await connections.add(req, res, id))) return;
   */
  add(req: IncomingMessage, res: ServerResponse, id: string): boolean | Promise<boolean> {
    const connection = this.of(req.socket);
    const { last } = connection;
    if (connection.isLingering || connection.isAbandoned) return false;
    if (connection.malformedAtBytes !== undefined) return false;
    if (connection.isEnding && (!last || last.res.headersSent)) return false;
    const due: DueResponse = { res, id, letStart: undefined };
    connection.due.add(due);
    connection.last = due;
    connection.newest = req;
    connection.requests += 1;
    if (connection.isEnding) this.endAfterLast(connection);
    res.once('close', () => this.remove(connection, due));
    if (connection.due.size <= MAX_REQUESTS_AHEAD) return true;
    connection.waiting.add(due);
    connection.socket.pause();
    return new Promise((resolve) => (due.letStart = resolve));
  }

  private remove(connection: Connection, due: DueResponse): void {
    const { socket, waiting } = connection;
    connection.due.delete(due);
    if (connection.last === due) connection.last = undefined;
    if (due.letStart) letStart(connection, due, false);
    if (connection.isEnding && connection.due.size === 0) return linger(connection);
    if ((waiting.size === 0 && !socket.isPaused()) || connection.isStartingNext) return;
    // Other connections have their turn first.
    connection.isStartingNext = true;
    setImmediate(() => this.startNext(connection));
  }

  /** Starts waiting requests, and reads on behind the last one. */
  private startNext(connection: Connection): void {
    const { socket, waiting, due } = connection;
    connection.isStartingNext = false;
    for (const next of waiting) {
      if (due.size - waiting.size >= MAX_REQUESTS_AHEAD) return;
      letStart(connection, next, true);
    }
    if (isBlocked(connection) || socket.destroyed) return;
    connection.resumedAtMs = this.deps.nowMs();
    const { unparsed } = connection;
    connection.unparsed = undefined;
    if (unparsed) parseInPieces(connection, unparsed);
    if (!mustPause(connection)) socket.resume();
  }

  /** Reads the rest of the body of a refused request; the connection ends if it exceeds the limits. */
  discardBody(req: IncomingMessage, id: string, limits: DiscardLimits): void {
    const connection = this.of(req.socket);
    connection.discarding = discardRequestBody(req, limits).then((hasEnded) => {
      connection.discarding = undefined;
      if (!hasEnded) this.abandonBody(req, id);
    });
  }

  /** Ends the connection of a request whose body is not read to its end. */
  abandonBody(req: IncomingMessage, id: string): void {
    const connection = this.of(req.socket);
    if (req.socket.destroyed || connection.malformedAtBytes !== undefined) return;
    this.deps.metrics.count('caller_bodies_abandoned_total');
    this.deps.log.warn('caller.body-abandoned', {
      request: id,
      connectionBytes: req.socket.bytesRead,
      requests: idsOf(connection),
    });
    connection.isAbandoned = true;
    this.endAfterLast(connection);
    if (connection.due.size === 0) linger(connection);
    else connection.socket.pause();
  }

  /**
   * Closes the connection of a request after the last response that is due on it.
   * @example if (isStopping()) connections.end(req);
   */
  end({ socket }: IncomingMessage): void {
    this.endAfterLast(this.of(socket));
  }

  /** Ends a connection on which the caller sent bytes that are no request, or too few of them in time. */
  readonly onClientError = (err: NodeJS.ErrnoException, socket: Socket): void => {
    const code = codeOf(err);
    const connection = this.of(socket);
    if (!isCallersFault(code) || code === CLOSED_EARLY || socket.readableEnded) {
      socket.destroy();
      return;
    }
    if (connection.isLingering) return;
    // The parser reports each further chunk.
    if (connection.malformedAtBytes !== undefined) return limitDiscarded(connection);
    if (code === HEAD_TIMEOUT) return this.onHeadTimeout(err, connection);
    this.onMalformed(err, connection);
  };

  private onHeadTimeout(err: NodeJS.ErrnoException, connection: Connection): void {
    const { socket, requests } = connection;
    const { headMs, nowMs } = this.deps;
    if (mustPause(connection) || nowMs() - connection.resumedAtMs < headMs()) {
      // The server reports a head only once.
      const checkAgain = (): void => {
        if (connection.requests === requests && !socket.destroyed)
          this.onHeadTimeout(err, connection);
      };
      setTimeout(checkAgain, HEAD_CHECK_INTERVAL_MS).unref();
      return;
    }
    if (socket.bytesRead === 0) {
      const closeIfUnused = (): void => void (socket.bytesRead === 0 && linger(connection));
      setTimeout(closeIfUnused, this.deps.firstHeadExtraMs()).unref();
      return;
    }
    // After a pause of the process the head may have arrived: timers run before I/O, I/O before immediates.
    setImmediate(() => {
      const isLate = connection.requests === requests && !connection.isLingering;
      if (isLate && !socket.destroyed) this.onMalformed(err, connection);
    });
  }

  private onMalformed(err: NodeJS.ErrnoException, connection: Connection): void {
    const code = codeOf(err);
    const { socket, newest, due } = connection;
    connection.malformedAtBytes = socket.bytesRead;
    this.deps.metrics.count('caller_errors_total', { code });
    this.deps.log.warn('caller.malformed', {
      code,
      detail: err.message,
      requests: idsOf(connection),
      earlier: connection.requests - due.size,
    });
    const isInBody = newest !== undefined && !newest.complete;
    this.endAfterLast(connection);
    // Whoever reads the body refuses the request in turn, unless it has been refused already.
    if (isInBody) newest.emit('error', err);
    if (due.size > 0) return;
    if (!isInBody) socket.write(errorResponse(code));
    linger(connection);
  }

  private endAfterLast(connection: Connection): void {
    connection.isEnding = true;
    const responses = [...connection.due].map(({ res }) => res);
    const last = responses.pop();
    for (const res of responses)
      if (!res.headersSent && res.hasHeader('connection')) res.removeHeader('connection');
    if (last && !last.headersSent) last.setHeader('connection', 'close');
  }

  private of(socket: Socket): Connection {
    const known = this.bySocket.get(socket);
    if (known) return known;
    const created: Connection = {
      socket,
      due: new Set(),
      newest: undefined,
      requests: 0,
      waiting: new Set(),
      last: undefined,
      isStartingNext: false,
      unparsed: undefined,
      parse: socket.listeners('data')[0] as (bytes: Buffer) => void,
      resumedAtMs: Number.NEGATIVE_INFINITY,
      isAbandoned: false,
      discarding: undefined,
      isEnding: false,
      malformedAtBytes: undefined,
      isLingering: false,
    };
    this.bySocket.set(socket, created);
    return created;
  }
}

/** Whether nothing more is parsed: requests wait for their turn, or responses for the end of the connection. */
function isBlocked({ waiting, isAbandoned, due }: Connection): boolean {
  return waiting.size > 0 || (isAbandoned && due.size > 0);
}

function mustPause(connection: Connection): boolean {
  return isBlocked(connection) || connection.unparsed !== undefined;
}

function parseInPieces(connection: Connection, bytes: Buffer): void {
  const { socket, parse } = connection;
  if (connection.isLingering && !connection.discarding) return;
  for (let start = 0; start < bytes.length && !socket.destroyed; start += PIECE_BYTES) {
    if (isBlocked(connection)) {
      connection.unparsed = bytes.subarray(start);
      socket.pause();
      return;
    }
    parse.call(socket, bytes.subarray(start, start + PIECE_BYTES));
  }
}

function letStart(connection: Connection, due: DueResponse, starts: boolean): void {
  connection.waiting.delete(due);
  due.letStart?.(starts);
  due.letStart = undefined;
}

/** Leaves further bytes unread until the responses that are due have been sent. */
function limitDiscarded(connection: Connection): void {
  const { socket, malformedAtBytes = 0 } = connection;
  if (socket.bytesRead - malformedAtBytes <= MAX_MALFORMED_BYTES) return;
  connection.isAbandoned = true;
  socket.pause();
}

/** Ids of the requests whose responses are due, for the log. */
function idsOf({ due }: Connection): string | undefined {
  return [...due].map(({ id }) => id).join() || undefined;
}

function errorResponse(code: string): string {
  return `HTTP/1.1 ${STATUS_LINES[code] ?? OTHER_STATUS_LINE}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** Closes a connection for writing, and for reading once the caller has had time to read the last response. */
function linger(connection: Connection): void {
  const { socket } = connection;
  if (connection.isLingering) return;
  connection.isLingering = true;
  const destroyLater = (): void => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  };
  connection.unparsed = undefined;
  socket.resume();
  socket.end(() => void (connection.discarding ?? Promise.resolve()).then(destroyLater));
}
