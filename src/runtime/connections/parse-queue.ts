/**
 * Shares the time for parsing among connections. Bytes in small chunks cost a hundred times as much to parse as the
 * same bytes in one, and the parser does not stop by itself before the end of what it is given.
 */
import { MAX_TURN_MS, MIN_GAP_MS } from './consts.js';

/** Bytes of one connection that wait to be parsed. */
export interface Parsable {
  /** Parses a part of them; adds itself to the queue again if it has more. */
  parseSlice(): void;
  /** Called when they wait for another turn. */
  noteKept(): void;
}

/** The connections of one process that have bytes to parse. */
export class ParseQueue {
  /** Connections that had no slice since they last had nothing to parse; they go first. */
  private readonly fresh = new Set<Parsable>();
  private readonly served = new Set<Parsable>();
  /** Time spent in this turn of the event loop, and when the last slice ended, ms. */
  private spentMs = 0;
  private endedAtMs = Number.NEGATIVE_INFINITY;
  private isScheduled = false;

  constructor(readonly nowMs: () => number) {}

  /**
   * Parses a connection at once if this turn of the event loop has time for it, else in its turn.
   * @example queue.start(feed);
   */
  start(item: Parsable): void {
    // After a gap the event loop has done other work.
    if (this.nowMs() - this.endedAtMs > MIN_GAP_MS) this.spentMs = 0;
    if (this.spentMs < MAX_TURN_MS && this.fresh.size === 0) return this.run(item);
    this.fresh.add(item);
    this.schedule();
  }

  /** Parses a connection again after the others. */
  continue(item: Parsable): void {
    this.served.add(item);
    this.schedule();
  }

  /** Removes a connection. */
  remove(item: Parsable): void {
    this.fresh.delete(item);
    this.served.delete(item);
  }

  private run(item: Parsable): void {
    const startedAtMs = this.nowMs();
    item.parseSlice();
    this.endedAtMs = this.nowMs();
    this.spentMs += this.endedAtMs - startedAtMs;
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    // Reads of other connections and timers come between two turns.
    setImmediate(() => {
      this.isScheduled = false;
      this.spentMs = 0;
      this.runTurn();
      if (this.fresh.size > 0 || this.served.size > 0) this.schedule();
    });
  }

  private runTurn(): void {
    this.runAll(this.fresh);
    this.runAll(this.served);
    for (const item of this.fresh) item.noteKept();
  }

  /** Runs each connection of a set once, while there is time. */
  private runAll(items: Set<Parsable>): void {
    let left = items.size;
    for (const item of items) {
      if (left === 0 || this.spentMs >= MAX_TURN_MS) return;
      left -= 1;
      items.delete(item);
      this.run(item);
    }
  }
}
