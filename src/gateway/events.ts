/** Server-sent events on their way through: split into whole events, each checked against its place. */

/** One event: its bytes, blank line included, and its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined when the event carries none or none that is a whole number. */
  readonly id: number | undefined;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(\d{1,15})$/m;

/** Splits a byte stream into events, whatever the sizes of the pieces it comes in. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /**
   * Events completed by a piece of the stream.
   * @example splitter.push(Buffer.from('id: 3\ndata: x\n\n'))[0]?.id // 3
   */
  push(piece: Buffer): StreamEvent[] {
    this.rest = this.rest.length === 0 ? piece : Buffer.concat([this.rest, piece]);
    const events: StreamEvent[] = [];
    for (let at = this.rest.indexOf(EVENT_END); at >= 0; at = this.rest.indexOf(EVENT_END)) {
      const bytes = this.rest.subarray(0, at + EVENT_END.length);
      this.rest = this.rest.subarray(at + EVENT_END.length);
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
      events.push({ bytes, id: id === undefined ? undefined : Number(id) });
    }
    return events;
  }
}
