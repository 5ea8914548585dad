/** A token bucket of bytes, which refills with time. */

/** Size and rate of a bucket. */
export interface ByteRate {
  /** Bytes of a full bucket. */
  readonly burstBytes: number;
  readonly bytesPerMs: number;
}

/** Bytes that may be taken now. */
export class ByteBucket {
  availableBytes: number;
  private refilledAtMs: number;

  constructor(
    private readonly nowMs: () => number,
    private readonly rate: ByteRate,
  ) {
    this.availableBytes = rate.burstBytes;
    this.refilledAtMs = nowMs();
  }

  /**
   * Adds what has come since the last call.
   * @example bucket.refill(); if (bucket.availableBytes > 0) bucket.availableBytes -= chunk.length;
   */
  refill(): void {
    const nowMs = this.nowMs();
    this.give((nowMs - this.refilledAtMs) * this.rate.bytesPerMs);
    this.refilledAtMs = nowMs;
  }

  /** Adds bytes, up to the size of the bucket. */
  give(bytes: number): void {
    this.availableBytes = Math.min(this.rate.burstBytes, this.availableBytes + bytes);
  }
}
