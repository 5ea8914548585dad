/**
 * Limits the rate at which large requests are read while many of them arrive: what is read becomes garbage that keeps
 * its memory until the next collection.
 */
import type { ReadAllowance } from '../read-allowance.js';
import { LARGE_READ_BYTES, MAX_UNLIMITED_READERS } from './consts.js';

/** What all connections of a process share. */
export interface SharedReads {
  /** Rate at which many large requests are read. */
  readonly reads: ReadAllowance;
  /** Connections on which a large request arrives. */
  readonly largeReaders: Set<object>;
}

/** The reads of one connection. */
export class ReadPace {
  private isWaiting = false;
  private cancel: () => void = () => undefined;

  /** `resume` is called when the connection may be read again. */
  constructor(
    private readonly shared: SharedReads,
    private readonly resume: () => void,
  ) {}

  /** Whether the connection may be read. */
  get mayRead(): boolean {
    return !this.isWaiting;
  }

  /** Notes the bytes of a read; behind a large one the connection may have to wait. */
  note(bytes: number): void {
    const { largeReaders, reads } = this.shared;
    if (bytes < LARGE_READ_BYTES) return;
    largeReaders.add(this);
    if (largeReaders.size <= MAX_UNLIMITED_READERS) return;
    this.isWaiting = true;
    this.cancel = reads.run(bytes, () => {
      this.isWaiting = false;
      this.resume();
    });
  }

  /** Notes that the request has arrived whole. */
  complete(): void {
    this.shared.largeReaders.delete(this);
  }

  /** Notes that the connection is closed, which must not wait for its turn any more. */
  close(): void {
    this.complete();
    this.cancel();
  }
}
