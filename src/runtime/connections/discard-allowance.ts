/** Limits what a process reads of requests that it has refused: the rest is read only so that callers see why. */
import { DISCARD_BURST_BYTES, DISCARD_BYTES_PER_MS } from './consts.js';

/** Token bucket of the bytes that all connections of a process discard. */
export class DiscardAllowance {
  private available = DISCARD_BURST_BYTES;
  private refilledAtMs: number;

  constructor(private readonly nowMs: () => number) {
    this.refilledAtMs = nowMs();
  }

  /**
   * Takes bytes that were discarded; false if the connection is to be closed.
   * @example if (!allowance.take(chunk.length)) socket.destroy();
   */
  take(bytes: number): boolean {
    const nowMs = this.nowMs();
    const refill = (nowMs - this.refilledAtMs) * DISCARD_BYTES_PER_MS;
    this.available = Math.min(DISCARD_BURST_BYTES, this.available + refill) - bytes;
    this.refilledAtMs = nowMs;
    // A debt would refuse the callers of the next seconds for what one read brought.
    if (this.available >= 0) return true;
    this.available = 0;
    return false;
  }
}
