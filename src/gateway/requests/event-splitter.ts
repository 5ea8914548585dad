/** Splits a stream of server-sent events into complete events and parses their ids. */

/** A complete event: its bytes, including the blank line, and its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id or its id is not an integer. */
  readonly id: number | undefined;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d{1,15})$/m;

/** Splits a byte stream into events, independent of how it is divided into chunks. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);

  /** Number of bytes buffered of an incomplete event. */
  get pendingBytes(): number {
    return this.buffered.length;
  }

  /**
   * Adds a chunk and returns the events that it completes.
   * @example splitter.push(Buffer.from('id: 3\ndata: x\n\n'))[0]?.id // 3
   */
  push(chunk: Buffer): StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: StreamEvent[] = [];
    for (
      let end = this.buffered.indexOf(EVENT_END);
      end >= 0;
      end = this.buffered.indexOf(EVENT_END)
    ) {
      const bytes = this.buffered.subarray(0, end + EVENT_END.length);
      this.buffered = this.buffered.subarray(end + EVENT_END.length);
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
      events.push({ bytes, id: id === undefined ? undefined : Number(id) });
    }
    return events;
  }
}
