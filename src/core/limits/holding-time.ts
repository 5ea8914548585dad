/** Mean time for which streams hold a slot, from the number of slots taken over time; no per-request state. */

/** Releases, after decay, from which the mean is known. */
const MIN_RELEASES = 3;

/** Mean holding time of one entry's streams, with exponential decay. Times are monotonic ms. */
export class HoldingTime {
  private taken = 0;
  private slotMs = 0;
  private releases = 0;
  private updatedAtMs: number | undefined;

  /** @param timeConstantMs time constant of the decay, ms */
  constructor(private readonly timeConstantMs: number) {}

  /** Notes the number of slots taken from now on. */
  note(taken: number, nowMs: number): void {
    this.advance(nowMs);
    if (taken < this.taken) this.releases += this.taken - taken;
    this.taken = taken;
  }

  /** Notes the number of slots taken from now on, and learns nothing from the time until now. */
  skip(taken: number, nowMs: number): void {
    this.taken = taken;
    this.updatedAtMs = nowMs;
  }

  /**
   * Mean holding time, ms; undefined before a few streams have ended.
   * @example holdingTime.meanMs(clock.nowMs()) // 1250
   */
  meanMs(nowMs: number): number | undefined {
    this.advance(nowMs);
    return this.releases >= MIN_RELEASES ? this.slotMs / this.releases : undefined;
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
    const decay = Math.exp(-elapsedMs / this.timeConstantMs);
    this.slotMs = this.slotMs * decay + this.taken * this.timeConstantMs * (1 - decay);
    this.releases *= decay;
    this.updatedAtMs = nowMs;
  }
}
