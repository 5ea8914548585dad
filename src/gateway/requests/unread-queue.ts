/** Bytes that wait until their caller has read the bytes before them. */

/** Size of a segment, bytes: small events are copied into one, which costs less memory than a buffer each. */
const SEGMENT_BYTES = 4096;

/** Consecutive bytes, written to the caller at once. */
export interface Segment {
  readonly bytes: Buffer;
  /** Arrival of its first byte, ms. */
  readonly arrivedAtMs: number;
}

interface OpenSegment {
  readonly buffer: Buffer;
  length: number;
  readonly arrivedAtMs: number;
}

/** FIFO queue of bytes. */
export class UnreadQueue {
  private readonly segments: OpenSegment[] = [];

  get isEmpty(): boolean {
    return this.segments.length === 0;
  }

  /** Appends bytes. */
  push(bytes: Buffer, nowMs: number): void {
    const last = this.segments.at(-1);
    if (last && last.length + bytes.length <= last.buffer.length) {
      last.length += bytes.copy(last.buffer, last.length);
      return;
    }
    if (bytes.length >= SEGMENT_BYTES) {
      this.segments.push({ buffer: bytes, length: bytes.length, arrivedAtMs: nowMs });
      return;
    }
    // A pooled buffer would be kept as long as any other part of its pool.
    const buffer = Buffer.allocUnsafeSlow(SEGMENT_BYTES);
    this.segments.push({ buffer, length: bytes.copy(buffer), arrivedAtMs: nowMs });
  }

  /** Removes and returns the oldest segment. */
  shift(): Segment | undefined {
    const first = this.segments.shift();
    return (
      first && { bytes: first.buffer.subarray(0, first.length), arrivedAtMs: first.arrivedAtMs }
    );
  }

  /** Discards everything. */
  clear(): void {
    this.segments.length = 0;
  }
}
