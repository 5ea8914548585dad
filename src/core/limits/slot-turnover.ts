/** How long slots are held, from the number taken over time and the releases; no per-request state. */

/** Time constant of the averages, ms: some streams of 1 to 1.5 s each. */
const AVERAGE_OVER_MS = 5000;
/** Weight of releases, in slots, below which the hold time counts as unknown. */
const MIN_RELEASES = 3;

/** Mean hold time of the slots of one entry. Times are monotonic ms. */
export class SlotTurnover {
  private taken = 0;
  private noteAtMs: number | undefined;
  /** Exponentially weighted sums: slot time, ms, and releases. */
  private heldMs = 0;
  private releases = 0;
  /** Last mean while enough releases were known, which outlasts an outage. */
  private meanMs: number | undefined;

  /**
   * Notes the number of slots taken, on each change. Without `isServing`, during an outage, slots are held for as long
   * as a refusal takes, and nothing is learned.
   * @example turnover.note(queue.running, clock.nowMs(), true);
   */
  note(taken: number, nowMs: number, isServing: boolean): void {
    if (!isServing) {
      this.taken = taken;
      this.noteAtMs = nowMs;
      return;
    }
    const elapsedMs = Math.max(0, nowMs - (this.noteAtMs ?? nowMs));
    const keep = Math.exp(-elapsedMs / AVERAGE_OVER_MS);
    this.heldMs = this.heldMs * keep + this.taken * AVERAGE_OVER_MS * (1 - keep);
    this.releases *= keep;
    if (taken < this.taken) this.releases += this.taken - taken;
    this.taken = taken;
    this.noteAtMs = nowMs;
    if (this.releases >= MIN_RELEASES) this.meanMs = this.heldMs / this.releases;
  }

  /** Mean time for which a slot is held, ms; undefined until some were released; kept while none is. */
  get holdMs(): number | undefined {
    return this.meanMs;
  }

  /**
   * Releases a second of a number of slots that are all taken; undefined while the hold time is unknown.
   * @example turnover.perS(16) // 12.8 with streams of 1.25 s
   */
  perS(slots: number): number | undefined {
    const { holdMs } = this;
    return holdMs === undefined || holdMs <= 0 ? undefined : (slots * 1000) / holdMs;
  }
}
