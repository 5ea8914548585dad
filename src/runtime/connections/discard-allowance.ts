/** Limits what a process reads of requests that it has refused: the rest is read only so that callers see why. */
import { ByteBucket } from '../byte-bucket.js';
import { DISCARD_RATE } from './consts.js';

/** The bytes that all connections of a process discard. */
export class DiscardAllowance {
  private readonly bucket: ByteBucket;

  constructor(nowMs: () => number) {
    this.bucket = new ByteBucket(nowMs, DISCARD_RATE);
  }

  /**
   * Takes bytes that were discarded; false if the connection is to be closed.
   * @example if (!allowance.take(chunk.length)) socket.destroy();
   */
  take(bytes: number): boolean {
    const { bucket } = this;
    bucket.refill();
    const isAllowed = bytes <= bucket.availableBytes;
    // A debt would refuse the callers of the next seconds for what one read brought.
    bucket.availableBytes = isAllowed ? bucket.availableBytes - bytes : 0;
    return isAllowed;
  }
}
