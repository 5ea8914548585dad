/**
 * Collects the bytes of one message. A buffer for each chunk would take a hundred times the bytes of a message that
 * comes in chunks of one byte.
 */

/** Smallest buffer that is allocated, bytes. */
const MIN_CAPACITY_BYTES = 512;
/** A large buffer grows ahead by this, or by a part of its size if that is more. */
const MAX_AHEAD_BYTES = 1024 * 1024;
const MAX_AHEAD_SHARE = 0.25;
/** Part of a larger buffer that a lone chunk may be, so that keeping the chunk does not keep much more. */
const MIN_USED_SHARE = 0.5;

const NO_BYTES = Buffer.alloc(0);

/** Bytes of a message so far, in one buffer that grows with them. */
export class ByteCollector {
  private buffer: Buffer = NO_BYTES;
  private length = 0;
  /** Whether the buffer belongs to whoever delivered the only chunk. */
  private isForeign = false;

  /** `expectedBytes` is the length that the message declares. */
  constructor(private readonly expectedBytes = Number.POSITIVE_INFINITY) {}

  /** Number of bytes collected. */
  get size(): number {
    return this.length;
  }

  /** Bytes of memory that the collector takes: more than it has collected, as the buffer grows ahead. */
  get takenBytes(): number {
    return this.isForeign ? this.buffer.buffer.byteLength : this.buffer.length;
  }

  /**
   * Appends a chunk.
   * @example const body = new ByteCollector(); body.push(chunk); body.toBuffer();
   */
  push(chunk: Buffer): void {
    if (this.length === 0 && chunk.length >= MIN_USED_SHARE * chunk.buffer.byteLength) {
      this.buffer = chunk;
      this.isForeign = true;
    } else this.append(chunk);
    this.length += chunk.length;
  }

  /** The bytes collected; valid until the next chunk. */
  toBuffer(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Frees the memory; what `toBuffer` has returned stays valid. */
  clear(): void {
    this.buffer = NO_BYTES;
    this.length = 0;
    this.isForeign = false;
  }

  private capacityFor(needed: number): number {
    const maxAhead = Math.max(MAX_AHEAD_BYTES, MAX_AHEAD_SHARE * this.length);
    const ahead = this.length + Math.min(this.length, maxAhead);
    return Math.ceil(Math.max(MIN_CAPACITY_BYTES, needed, Math.min(ahead, this.expectedBytes)));
  }

  private append(chunk: Buffer): void {
    const needed = this.length + chunk.length;
    if (this.isForeign || needed > this.buffer.length) {
      const grown = Buffer.allocUnsafeSlow(this.capacityFor(needed));
      this.buffer.copy(grown, 0, 0, this.length);
      this.buffer = grown;
      this.isForeign = false;
    }
    chunk.copy(this.buffer, this.length);
  }
}
