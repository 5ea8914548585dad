/** A timer queue in virtual time. Promises settle between two ticks. */

/** Virtual milliseconds; satisfies the clock of the entries. */
export class VirtualTime {
  private atMs = 0;
  private readonly due = new Map<number, (() => void)[]>();

  nowMs(): number {
    return this.atMs;
  }

  /** Runs a function after a delay of at least 1 ms. */
  after(ms: number, run: () => void): void {
    const at = this.atMs + Math.max(1, Math.round(ms));
    const others = this.due.get(at);
    if (others) others.push(run);
    else this.due.set(at, [run]);
  }

  /** Runs a function periodically, from a first delay on. */
  every(ms: number, firstMs: number, run: () => void): void {
    this.after(firstMs, () => {
      run();
      this.every(ms, ms, run);
    });
  }

  /** Runs everything that is due until a time. */
  async runUntil(untilMs: number): Promise<void> {
    for (; this.atMs < untilMs; this.atMs += 1) {
      const runs = this.due.get(this.atMs);
      if (!runs) continue;
      this.due.delete(this.atMs);
      for (const run of runs) run();
      await new Promise(setImmediate);
    }
  }
}
