/** Virtual time that advances only when no other work is pending, to simulate minutes in moments. */

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A virtual clock and its timers. */
export class VirtualTime {
  private now = 0;
  private sequence = 0;
  private timers: Timer[] = [];

  readonly nowMs = (): number => this.now;
  readonly wallMs = (): number => this.now;

  /** Calls `run` after `ms`. */
  after(ms: number, run: () => void): void {
    this.sequence += 1;
    this.timers.push({ atMs: this.now + Math.max(0, ms), order: this.sequence, run });
  }

  readonly sleep = (ms: number): Promise<void> => new Promise((resolve) => this.after(ms, resolve));

  /**
   * Runs timers up to a time; every promise that can settle does so before the clock advances.
   * @example await time.runUntil(60_000);
   */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      const next = this.timers.reduce<Timer | undefined>(
        (a, b) => (!a || b.atMs < a.atMs || (b.atMs === a.atMs && b.order < a.order) ? b : a),
        undefined,
      );
      if (!next || next.atMs > untilMs) break;
      this.timers.splice(this.timers.indexOf(next), 1);
      this.now = next.atMs;
      next.run();
    }
    this.now = untilMs;
  }
}
