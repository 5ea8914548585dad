/** Splits a stream of server-sent events into complete events and parses their ids. */

/** A complete event: its bytes, including the blank line, and its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id or its id is not an integer. */
  readonly id: number | undefined;
}

const NEWLINE = 0x0a;
const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d{1,15})$/m;
const NO_BYTES = Buffer.alloc(0);
/** Initial capacity for an incomplete event, bytes. */
const MIN_CAPACITY = 512;

function parseEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

/** Splits a byte stream into events, independent of how it is divided into chunks. */
export class EventSplitter {
  /** The incomplete event; its capacity is doubled, so that it costs time in proportion to its bytes. */
  private pending: Buffer = NO_BYTES;
  private length = 0;

  /** Number of bytes buffered of an incomplete event. */
  get pendingBytes(): number {
    return this.length;
  }

  /**
   * Adds a chunk and returns the events that it completes.
   * @example splitter.push(Buffer.from('id: 3\ndata: x\n\n'))[0]?.id // 3
   */
  push(chunk: Buffer): StreamEvent[] {
    return [...this.split(chunk)];
  }

  /**
   * Adds a chunk and yields the events that it completes, each parsed only when it is requested.
   * @example for (const event of splitter.split(chunk)) if (event.id === undefined) return;
   */
  *split(chunk: Buffer): Generator<StreamEvent, void> {
    let start = 0;
    if (this.length > 0) {
      start = this.endOfPending(chunk);
      this.append(start === 0 ? chunk : chunk.subarray(0, start));
      if (start === 0) return;
      yield parseEvent(this.takePending());
    }
    for (;;) {
      const end = chunk.indexOf(EVENT_END, start);
      if (end < 0) break;
      const bytes = chunk.subarray(start, end + EVENT_END.length);
      start = end + EVENT_END.length;
      yield parseEvent(bytes);
    }
    this.append(chunk.subarray(start));
  }

  /** Where the incomplete event ends in a chunk; 0 if it does not. */
  private endOfPending(chunk: Buffer): number {
    if (this.pending[this.length - 1] === NEWLINE && chunk[0] === NEWLINE) return 1;
    const end = chunk.indexOf(EVENT_END);
    return end < 0 ? 0 : end + EVENT_END.length;
  }

  private append(bytes: Buffer): void {
    const length = this.length + bytes.length;
    if (length > this.pending.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY, length, 2 * this.pending.length));
      this.pending.copy(grown, 0, 0, this.length);
      this.pending = grown;
    }
    bytes.copy(this.pending, this.length);
    this.length = length;
  }

  private takePending(): Buffer {
    const bytes = this.pending.subarray(0, this.length);
    this.pending = NO_BYTES;
    this.length = 0;
    return bytes;
  }
}
