/** Events a second, with exponential decay. Times are monotonic ms. */

const MS_PER_S = 1000;

/** A decaying count of events. */
export class DecayedRate {
  private perS = 0;
  private updatedAtMs: number;

  constructor(
    private readonly timeConstantMs: number,
    nowMs: number,
  ) {
    this.updatedAtMs = nowMs;
  }

  /** Counts an event, or several at once. */
  add(nowMs: number, events = 1): void {
    this.perS = this.read(nowMs) + (events * MS_PER_S) / this.timeConstantMs;
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }

  /** Events a second. */
  read(nowMs: number): number {
    return this.perS * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / this.timeConstantMs);
  }
}
