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
    const { burstBytes, bytesPerMs } = this.rate;
    const refilled = this.availableBytes + (nowMs - this.refilledAtMs) * bytesPerMs;
    this.availableBytes = Math.min(burstBytes, refilled);
    this.refilledAtMs = nowMs;
  }
}
