/** The entries that asked an agent for the group lately: counted, so that each can find its share. */

/** Time for which an entry counts after it asked, ms: each asks some agent every 150 ms. */
const RECENT_MS = 1500;

/** Entries by the time of their last question. Times are monotonic ms. */
export class Askers {
  private readonly askedAtMs = new Map<string, number>();

  /** Notes a question of an entry. */
  note(entry: string, nowMs: number): void {
    this.askedAtMs.set(entry, nowMs);
  }

  /**
   * Entries that asked lately; others are forgotten.
   * @example askers.recent(clock.nowMs()).length
   */
  recent(nowMs: number): string[] {
    for (const [entry, atMs] of this.askedAtMs)
      if (nowMs - atMs > RECENT_MS) this.askedAtMs.delete(entry);
    return [...this.askedAtMs.keys()];
  }
}
