/**
 * Limits the open connections of one server. At the limit those are closed that wait on their client, the longest
 * first: before a whole request, or else between two of them; then those whose request waits and has not run, which is
 * refused. A connection whose request may run is never closed for a new one, which is closed instead.
 */
import { EVICTED_SHARE } from './consts.js';

/** States of a connection, in the order in which it is closed for others. */
const STATES = [
  /** No whole request has arrived, or a part of the next one. */
  'arriving',
  /** All requests are answered. */
  'idle',
  /** Its requests wait, and none of them may have run. */
  'waiting',
] as const;

/** State of a connection; one with a request that may run is not closed for others. */
export type ConnectionState = (typeof STATES)[number] | 'running';

/** A connection that can be closed for others. */
export interface LimitedConnection {
  state(): ConnectionState;
  /** Since when it has been in its state, ms. */
  readonly sinceMs: number;
  close(): void;
}

/** The open connections of one server. */
export class ConnectionLimit<Connection extends LimitedConnection> {
  private readonly open = new Set<Connection>();

  /** `onEvicted` is called with the number of connections that were closed for others. */
  constructor(
    private readonly maxConnections: number,
    private readonly onEvicted: (closed: number) => void = () => undefined,
  ) {}

  get size(): number {
    return this.open.size;
  }

  /**
   * Adds a connection; false if there are too many, and all others have a request that runs.
   * @example if (!limit.add(connection)) socket.destroy();
   */
  add(connection: Connection): boolean {
    if (this.open.size >= this.maxConnections) this.evict();
    if (this.open.size >= this.maxConnections) return false;
    this.open.add(connection);
    return true;
  }

  remove(connection: Connection): void {
    this.open.delete(connection);
  }

  private evict(): void {
    const byAge = (state: ConnectionState): Connection[] =>
      [...this.open]
        .filter((connection) => connection.state() === state)
        .sort((a, b) => a.sinceMs - b.sinceMs);
    const count = Math.max(1, Math.floor(this.maxConnections * EVICTED_SHARE));
    const closed = STATES.flatMap(byAge).slice(0, count);
    for (const connection of closed) {
      this.open.delete(connection);
      connection.close();
    }
    this.onEvicted(closed.length);
  }
}
