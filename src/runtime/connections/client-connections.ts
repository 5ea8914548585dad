/**
 * Connections of clients: which responses are due on each, what it keeps, and how it is closed. Nothing is written out
 * of turn: an error that ends a connection is reported behind the responses that are due, or not at all.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PendingAccount } from '../../core/buffering/index.js';
import { discardRequestBody, type DiscardLimits } from '../discard-request-body.js';
import type { ClientLimits } from './client-limits.js';
import { ConnectionFeed } from './connection-feed.js';
import {
  ConnectionLimit,
  type ConnectionState,
  type LimitedConnection,
} from './connection-limit.js';
import {
  HEAD_CHECK_INTERVAL_MS,
  LINGER_MS,
  MAX_MALFORMED_BYTES,
  MAX_REQUESTS_AHEAD,
  MEMORY_PER_HEAD_BYTE,
  WAITING_REQUEST_BYTES,
} from './consts.js';
import { dropTrailers, keepHead, trailerMemory } from './head-memory.js';
import { stopReadsWhilePaused } from './paused-reads.js';
import { ReadPace } from './read-pace.js';
import { WaitingResponses } from './waiting-responses.js';

const HEAD_OVERFLOW = 'HPE_HEADER_OVERFLOW';
/** Statuses for bytes that are no request, by the code of the parser's error; 400 for all others. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  [HEAD_OVERFLOW]: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const OTHER_STATUS_LINE = '400 Bad Request';

const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The caller closed its side inside a request. */
const CLOSED_EARLY = 'HPE_INVALID_EOF_STATE';

/** Dependencies of `ClientConnections`. */
export interface ClientConnectionsDeps {
  readonly limits: ClientLimits;
  /** What connects here, for the log. */
  readonly port: string;
  readonly maxConnections: number;
  /** Maximum size of a head, bytes. */
  readonly maxHeadBytes: () => number;
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
  /** Refuses the request; undefined if it may have run, or is about to be refused anyway. */
  refuse: (() => void) | undefined;
}

interface Connection extends LimitedConnection {
  readonly socket: Socket;
  readonly feed: ConnectionFeed;
  readonly pace: ReadPace;
  /** Memory of what has arrived and is no request yet. */
  readonly account: PendingAccount;
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
  /** Bytes of a head that is not complete. */
  headBytes: number;
  /** When it was opened, or last got a request or completed a response, ms. */
  sinceMs: number;
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
  /** Time for which it is read after the last response, ms. */
  lingerMs: number;
}

function codeOf(err: NodeJS.ErrnoException): string {
  return err.code ?? 'unknown';
}

/** Whether the error was found by the server, in bytes that it read or for want of them. */
function isCallersFault(code: string): boolean {
  return code.startsWith('HPE_') || code === HEAD_TIMEOUT;
}

/** The connections of one server. */
export class ClientConnections {
  private readonly bySocket = new WeakMap<Socket, Connection>();
  private readonly limit: ConnectionLimit<Connection>;
  private readonly waitingResponses = new WaitingResponses();

  constructor(private readonly deps: ClientConnectionsDeps) {
    const { limits, port } = deps;
    this.limit = new ConnectionLimit(deps.maxConnections, (closed) => {
      limits.metrics.count('connections_closed_for_others_total', { port }, closed);
      limits.log.warn('connections.full', { port, closed, open: deps.maxConnections });
    });
    limits.metrics.gauge(`open_connections_${port}`, () => this.limit.size);
  }

  /** Follows a new connection. */
  readonly onConnection = (socket: Socket): void => {
    const connection = this.of(socket);
    if (!this.limit.add(connection)) {
      this.deps.limits.metrics.count('connections_refused_total', { port: this.deps.port });
      socket.destroy();
      return;
    }
    socket.once('close', () => this.forget(connection));
    // The server calls it after the last response. Closed at once, unread bytes would reset the connection, and
    // the client might lose the response (RFC 9112, 9.6).
    socket.destroySoon = () => linger(connection);
    stopReadsWhilePaused(socket);
    // Reading a body resumes the connection, as does the server once its responses have been sent.
    socket.on('resume', () => {
      if (!isDropping(connection)) connection.feed.resume();
    });
    socket.on('data', (bytes: Buffer) => this.onData(connection, bytes));
  };

  private forget(connection: Connection): void {
    connection.feed.clear();
    connection.pace.close();
    this.limit.remove(connection);
    this.deps.limits.memory.pending.close(connection.account);
  }

  private onData(connection: Connection, bytes: Buffer): void {
    const isDiscarded = connection.isLingering || connection.discarding !== undefined;
    if (isDiscarded && !this.deps.limits.discards.take(bytes.length)) {
      if (connection.isLingering || connection.due.size === 0) return connection.close();
      return this.abandon(connection);
    }
    if (isDropping(connection)) return;
    connection.pace.note(bytes.length);
    connection.feed.push(bytes);
  }

  /** Counts a piece that was parsed, and ends the connection if it is part of a head that is too large. */
  private onParsed(connection: Connection, isPartOfHead: boolean, bytes: number): void {
    connection.headBytes = isPartOfHead ? connection.headBytes + bytes : 0;
    if (connection.newest?.complete) dropTrailers(connection.newest);
    const isTooLarge = connection.headBytes > this.deps.maxHeadBytes();
    if (!isTooLarge || connection.malformedAtBytes !== undefined) return;
    const err = Object.assign(new Error('the head is too large'), { code: HEAD_OVERFLOW });
    this.onMalformed(err, connection);
  }

  /** Counts the memory of what has arrived and is no request yet. */
  private onKept(connection: Connection, unparsedBytes: number): void {
    const { headBytes, waiting, account, newest, socket } = connection;
    const fieldBytes =
      newest?.complete === false ? trailerMemory(socket) : MEMORY_PER_HEAD_BYTE * headBytes;
    const bytes = unparsedBytes + fieldBytes + WAITING_REQUEST_BYTES * waiting.size;
    if (bytes !== account.heldBytes) this.deps.limits.memory.pending.keep(account, bytes);
  }

  /**
   * Adds a request. Returns whether it starts: false if its connection ends before its response. Too many requests
   * at once wait for their turn, with the rest of the connection unread.
   * @example if (!(await connections.add(req, res, id))) return;
   */
  add(req: IncomingMessage, res: ServerResponse, id: string): boolean | Promise<boolean> {
    this.waitingResponses.add(req, res);
    const connection = this.of(req.socket);
    const { last } = connection;
    connection.sinceMs = this.deps.limits.nowMs();
    if (connection.isLingering || connection.isAbandoned) return false;
    if (connection.malformedAtBytes !== undefined) return false;
    if (connection.isEnding && (!last || last.res.headersSent)) return false;
    const due: DueResponse = { res, id, letStart: undefined, refuse: undefined };
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

  /**
   * Counts the head of a request that was added; false if there is no memory for it, and the request has to be refused.
   * @example if (!connections.keepHead(req, res)) return refuse(res);
   */
  keepHead(req: IncomingMessage, res: ServerResponse): boolean {
    const { memory, metrics } = this.deps.limits;
    const isKept = keepHead(memory.pending, req, res);
    if (!isKept) metrics.count('heads_refused_total', { port: this.deps.port });
    return isKept;
  }

  private remove(connection: Connection, due: DueResponse): void {
    const { socket, waiting } = connection;
    connection.sinceMs = this.deps.limits.nowMs();
    // The rest of a refused request may still arrive.
    if (connection.newest?.complete) connection.pace.complete();
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
    connection.resumedAtMs = this.deps.limits.nowMs();
    connection.feed.resume();
  }

  /**
   * Lets a request that waits be refused, if its connection is needed for others, until the returned function is
   * called: when it may run.
   * @example const noteSent = connections.makeRefusable(req, res, () => refuse(res));
   */
  makeRefusable({ socket }: IncomingMessage, res: ServerResponse, refuse: () => void): () => void {
    for (const due of this.of(socket).due) {
      if (due.res !== res) continue;
      due.refuse = refuse;
      return () => void (due.refuse = undefined);
    }
    return () => undefined;
  }

  /** Reads the rest of the body of a refused request; the connection ends if it exceeds the limits. */
  discardBody(req: IncomingMessage, id: string, limits: DiscardLimits): void {
    const connection = this.of(req.socket);
    connection.discarding = discardRequestBody(req, limits).then((hasEnded) => {
      connection.discarding = undefined;
      if (hasEnded) connection.pace.complete();
      else this.abandonBody(req, id);
    });
  }

  /** Ends the connection of a request whose body is not read to its end. */
  abandonBody(req: IncomingMessage, id: string): void {
    const connection = this.of(req.socket);
    if (req.socket.destroyed || connection.malformedAtBytes !== undefined) return;
    this.deps.limits.metrics.count('caller_bodies_abandoned_total');
    this.deps.limits.log.warn('caller.body-abandoned', {
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
    const { headMs, limits } = this.deps;
    if (mustPause(connection) || limits.nowMs() - connection.resumedAtMs < headMs()) {
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
    this.deps.limits.metrics.count('caller_errors_total', { code });
    this.deps.limits.log.warn('caller.malformed', {
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

  /** Closes a connection whose memory or descriptor is needed for others; what runs on it is answered first. */
  private abandon(connection: Connection): void {
    const { due, waiting, socket } = connection;
    connection.feed.clear();
    connection.isAbandoned = true;
    connection.lingerMs = 0;
    connection.headBytes = 0;
    for (const next of [...waiting]) {
      due.delete(next);
      letStart(connection, next, false);
    }
    connection.last = [...due].at(-1);
    if (due.size === 0 || isArriving(connection)) return void socket.destroy();
    this.endAfterLast(connection);
    socket.pause();
    for (const { refuse } of due) refuse?.();
  }

  private of(socket: Socket): Connection {
    const known = this.bySocket.get(socket);
    if (known) return known;
    const created = this.create(socket);
    this.bySocket.set(socket, created);
    return created;
  }

  private create(socket: Socket): Connection {
    const { limits } = this.deps;
    // The server has added its parser as the only listener.
    const serverParse = socket.listeners('data')[0] as (bytes: Buffer) => void;
    socket.off('data', serverParse);
    const close = (): void => {
      limits.metrics.count('connections_abandoned_total', { port: this.deps.port });
      this.abandon(created);
    };
    let requestsBefore = 0;
    const feed = new ConnectionFeed({
      socket,
      queue: limits.queue,
      parse: (bytes) => {
        requestsBefore = created.requests;
        serverParse.call(socket, bytes);
      },
      isBlocked: () => isBlocked(created),
      mayRead: () => pace.mayRead,
      newest: () => created.newest,
      onParsed: (bytes, startsInHead) =>
        this.onParsed(created, startsInHead && created.requests === requestsBefore, bytes),
      onKept: (bytes) => this.onKept(created, bytes),
    });
    const pace = new ReadPace(limits, () => {
      if (!isDropping(created)) feed.resume();
    });
    const created: Connection = {
      socket,
      feed,
      pace,
      account: limits.memory.pending.open(close),
      due: new Set(),
      newest: undefined,
      requests: 0,
      waiting: new Set(),
      last: undefined,
      isStartingNext: false,
      headBytes: 0,
      sinceMs: limits.nowMs(),
      resumedAtMs: Number.NEGATIVE_INFINITY,
      isAbandoned: false,
      discarding: undefined,
      isEnding: false,
      malformedAtBytes: undefined,
      isLingering: false,
      lingerMs: LINGER_MS,
      state: () => stateOf(created),
      close,
    };
    return created;
  }
}

/** Whether what it still sends is read and dropped. */
function isDropping({ isLingering, discarding }: Connection): boolean {
  return isLingering && discarding === undefined;
}

/** Whether the only request that is due has not arrived whole. */
function isArriving({ due, newest }: Connection): boolean {
  return due.size === 1 && newest?.complete === false;
}

/** Whether none of the requests that lack their response may have run. */
function isWaiting({ due }: Connection): boolean {
  for (const { res, refuse, letStart: start } of due)
    if (!refuse && !start && !res.writableEnded) return false;
  return true;
}

function stateOf(connection: Connection): ConnectionState {
  const { due, requests, headBytes, isLingering } = connection;
  if (isLingering || isArriving(connection)) return 'arriving';
  if (due.size > 0) return isWaiting(connection) ? 'waiting' : 'running';
  return requests === 0 || headBytes > 0 ? 'arriving' : 'idle';
}

/** Whether nothing more is parsed: requests wait for their turn, or responses for the end of the connection. */
function isBlocked({ waiting, isAbandoned, due }: Connection): boolean {
  return waiting.size > 0 || (isAbandoned && due.size > 0);
}

function mustPause(connection: Connection): boolean {
  return isBlocked(connection) || connection.feed.hasUnparsed;
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
  const destroyLater = (): unknown => {
    if (connection.lingerMs === 0) return socket.destroy();
    const timer = setTimeout(() => socket.destroy(), connection.lingerMs);
    return socket.once('close', () => clearTimeout(timer));
  };
  if (!connection.discarding) connection.feed.clear();
  socket.resume();
  socket.end(() => void (connection.discarding ?? Promise.resolve()).then(destroyLater));
}
