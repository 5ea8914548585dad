/** Feeds the bytes of one connection to the server's parser in pieces, so that it can be stopped between them. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_SLICE_MS, PIECE_BYTES } from './consts.js';
import type { Parsable, ParseQueue } from './parse-queue.js';

/** End of a head; its last line may end without a carriage return. */
const BLANK_LINE = Buffer.from('\n\r\n');

/** Dependencies of `ConnectionFeed`. */
export interface ConnectionFeedDeps {
  readonly socket: Socket;
  readonly queue: ParseQueue;
  /** The server's parser. */
  readonly parse: (bytes: Buffer) => void;
  /** Whether nothing more may be parsed for now; `resume` is to be called at the end of that. */
  readonly isBlocked: () => boolean;
  /** Whether further bytes may be read. */
  readonly mayRead: () => boolean;
  /** The newest request. */
  readonly newest: () => IncomingMessage | undefined;
  /** Called after each piece with its length, and whether it followed a whole request or none. */
  readonly onParsed: (bytes: number, startsInHead: boolean) => void;
  /** Called with the bytes of memory that unparsed bytes keep, beyond the turn of the event loop that read them. */
  readonly onKept: (bytes: number) => void;
}

/** Whether the server has paused the connection; its parser asserts that it gets no bytes until it resumes it. */
function isPausedByServer(socket: Socket): boolean {
  return (socket as { readonly _paused?: boolean })._paused === true;
}

/** Whether nobody has read as much of the body of a request as may wait. */
function isBodyFull(req: IncomingMessage | undefined): boolean {
  if (!req || req.complete || req.destroyed) return false;
  return req.readableLength >= req.readableHighWaterMark;
}

/** The unparsed bytes of one connection. */
export class ConnectionFeed implements Parsable {
  private unparsed: Buffer | undefined;
  /** Length of the bytes of which the unparsed ones are the rest. */
  private readBytes = 0;
  private isParsing = false;
  /** Whether the unparsed bytes had a slice already. */
  private hadSlice = false;

  constructor(private readonly deps: ConnectionFeedDeps) {}

  /** Whether bytes wait to be parsed. */
  get hasUnparsed(): boolean {
    return this.unparsed !== undefined;
  }

  /** Parses bytes that were read, now or later; the connection is paused until it has no bytes left. */
  push(bytes: Buffer): void {
    this.unparsed = this.unparsed ? Buffer.concat([this.unparsed, bytes]) : bytes;
    this.readBytes = this.unparsed.length;
    this.hadSlice = false;
    if (!this.isParsing) this.deps.queue.start(this);
    this.settle();
  }

  /** Goes on after a pause. */
  resume(): void {
    if (!this.unparsed) this.noteKept();
    else if (!this.isParsing) this.deps.queue.continue(this);
    this.settle();
  }

  /** Discards the unparsed bytes. */
  clear(): void {
    this.unparsed = undefined;
    this.deps.queue.remove(this);
  }

  /** Counts the memory of the unparsed bytes. */
  noteKept(): void {
    this.deps.onKept(this.unparsed ? this.readBytes : 0);
  }

  /** Parses for a slice of time, or until the connection is blocked. */
  parseSlice(): void {
    const { queue } = this.deps;
    const endMs = queue.nowMs() + MAX_SLICE_MS;
    this.isParsing = true;
    try {
      while (this.mayParse()) {
        this.parsePiece();
        if (queue.nowMs() >= endMs) break;
      }
    } finally {
      this.isParsing = false;
    }
    if (this.mayParse()) queue.continue(this);
    if (this.hadSlice || !this.unparsed) this.noteKept();
    this.hadSlice = true;
    this.settle();
  }

  private mayParse(): boolean {
    return this.unparsed !== undefined && !this.deps.socket.destroyed && !this.mustWait();
  }

  private mustWait(): boolean {
    const { socket, isBlocked, newest } = this.deps;
    return isBlocked() || isPausedByServer(socket) || isBodyFull(newest());
  }

  private parsePiece(): void {
    const { socket, parse, newest, onParsed } = this.deps;
    const bytes = this.unparsed;
    if (!bytes) return;
    let length = Math.min(bytes.length, PIECE_BYTES);
    const startsInHead = newest()?.complete !== false;
    if (startsInHead) {
      // A piece holds one request at most, behind which the parser can be stopped.
      const end = bytes.subarray(0, length).indexOf(BLANK_LINE);
      if (end >= 0) length = end + BLANK_LINE.length;
    }
    this.unparsed = length < bytes.length ? bytes.subarray(length) : undefined;
    parse.call(socket, bytes.subarray(0, length));
    onParsed(length, startsInHead);
  }

  /** Reads on unless bytes wait. */
  private settle(): void {
    const { socket, mayRead } = this.deps;
    if (socket.destroyed) return;
    if (this.unparsed || this.mustWait() || !mayRead()) socket.pause();
    else if (socket.isPaused()) socket.resume();
  }
}
