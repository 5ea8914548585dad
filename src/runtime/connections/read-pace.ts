/**
 * Limits the rate at which large requests are read while many of them arrive. What is read becomes garbage that keeps
 * its memory until the next collection, also on the new connection of a client that was refused and came back at once.
 */
import type { ReadAllowance } from '../read-allowance.js';
import { LARGE_READ_BYTES, MAX_READ_BYTES, MAX_UNLIMITED_READERS } from './consts.js';

/** What all connections of a process share. */
export interface SharedReads {
  /** Rate of reads behind a large one. */
  readonly reads: ReadAllowance;
  /** Rate of first reads of new connections. */
  readonly firstReads: ReadAllowance;
  /** Connections on which a large request arrives. */
  readonly largeReaders: Set<object>;
}

/** The reads of one connection. */
export class ReadPace {
  private isWaiting = false;
  private cancel: () => void = () => undefined;
  /** Bytes that the first read was charged, until they are known. */
  private chargedBytes = 0;

  /** `resume` is called when the connection may be read. */
  constructor(
    private readonly shared: SharedReads,
    private readonly resume: () => void,
  ) {}

  /** Whether the connection may be read. */
  get mayRead(): boolean {
    return !this.isWaiting;
  }

  /** Reads a new connection, now or later. */
  start(): void {
    if (!this.isLimited()) return this.resume();
    this.runLater(this.shared.firstReads, MAX_READ_BYTES, () => {
      this.chargedBytes = MAX_READ_BYTES;
    });
  }

  /** Notes the bytes of a read; behind a large one the connection may have to wait. */
  note(bytes: number): void {
    this.settleFirst(bytes);
    if (bytes < LARGE_READ_BYTES) return;
    this.shared.largeReaders.add(this);
    if (this.isLimited()) this.runLater(this.shared.reads, bytes, () => undefined);
  }

  /** Notes that the request has arrived whole. */
  complete(): void {
    this.shared.largeReaders.delete(this);
  }

  /** Notes that the connection is closed. */
  close(): void {
    this.complete();
    this.cancel();
    this.settleFirst(0);
  }

  private isLimited(): boolean {
    return this.shared.largeReaders.size > MAX_UNLIMITED_READERS;
  }

  private runLater(allowance: ReadAllowance, chargedBytes: number, onRead: () => void): void {
    this.isWaiting = true;
    this.cancel = allowance.run(chargedBytes, () => {
      this.isWaiting = false;
      onRead();
      this.resume();
    });
  }

  private settleFirst(bytes: number): void {
    if (this.chargedBytes === 0) return;
    this.shared.firstReads.refund(this.chargedBytes - bytes);
    this.chargedBytes = 0;
  }
}
