/** Bounds how much is read from some connections, so that a flood on them does not take the event loop from others. */
import { ByteBucket, type ByteRate } from './byte-bucket.js';

/** How often waiting reads are tried, ms. */
const RETRY_MS = 1;

/** A read of a socket, and the bytes that its last one returned. */
interface WaitingRead {
  readonly lastBytes: number;
  readonly read: () => void;
}

/** Token bucket of the bytes read on some connections. What exceeds it waits in the sockets. */
export class ReadAllowance {
  private readonly bucket: ByteBucket;
  private readonly waiting = new Set<WaitingRead>();
  private isScheduled = false;

  constructor(nowMs: () => number, rate: ByteRate) {
    this.bucket = new ByteBucket(nowMs, rate);
  }

  /**
   * Reads at once, or in order of arrival once the allowance permits. A read is charged the bytes of the last one
   * on its socket, as its own are not known yet. Returns a function that takes back a read that still waits.
   * @example const cancel = allowance.run(lastBytes, () => socket.resume());
   */
  run(lastBytes: number, read: () => void): () => void {
    const next = { lastBytes, read };
    if (this.waiting.size === 0 && this.hasAllowance()) this.start(next);
    else {
      this.waiting.add(next);
      this.scheduleRetry();
    }
    return () => void this.waiting.delete(next);
  }

  private start({ lastBytes, read }: WaitingRead): void {
    this.bucket.availableBytes -= lastBytes;
    read();
  }

  private hasAllowance(): boolean {
    if (this.bucket.availableBytes > 0) return true;
    this.bucket.refill();
    return this.bucket.availableBytes > 0;
  }

  private scheduleRetry(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setTimeout(() => {
      for (const next of this.waiting) {
        if (!this.hasAllowance()) break;
        this.waiting.delete(next);
        this.start(next);
      }
      this.isScheduled = false;
      if (this.waiting.size > 0) this.scheduleRetry();
    }, RETRY_MS).unref();
  }
}
