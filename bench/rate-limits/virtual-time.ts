/** Timer queue in virtual time. Promises settle between two ticks. */

/** Virtual clock and timers, in ms; usable as the `Clock` of an entry. */
export class VirtualTime {
  private atMs = 0;
  private readonly callbacksByTime = new Map<number, (() => void)[]>();

  nowMs(): number {
    return this.atMs;
  }

  /** Runs a function after a delay of at least 1 ms. */
  after(ms: number, callback: () => void): void {
    const at = this.atMs + Math.max(1, Math.round(ms));
    const scheduled = this.callbacksByTime.get(at);
    if (scheduled) scheduled.push(callback);
    else this.callbacksByTime.set(at, [callback]);
  }

  /** Runs a function at an interval, first after `firstMs`. */
  every(ms: number, firstMs: number, callback: () => void): void {
    this.after(firstMs, () => {
      callback();
      this.every(ms, ms, callback);
    });
  }

  /** Advances to a time and runs every callback due before it. */
  async runUntil(untilMs: number): Promise<void> {
    for (; this.atMs < untilMs; this.atMs += 1) {
      const callbacks = this.callbacksByTime.get(this.atMs);
      if (!callbacks) continue;
      this.callbacksByTime.delete(this.atMs);
      for (const callback of callbacks) callback();
      await new Promise(setImmediate);
    }
  }
}
