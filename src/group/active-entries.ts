/** The entries that asked an agent for the group lately: counted, so that each can find its share. */

/** Time for which an entry counts after it asked, ms: each asks some agent every 150 ms. */
const ACTIVE_WINDOW_MS = 1500;

/** Entries by the time of their last question. Times are monotonic ms. */
export class ActiveEntries {
  private readonly lastRequestAtMs = new Map<string, number>();

  /** Notes a question of an entry. */
  record(entry: string, nowMs: number): void {
    this.lastRequestAtMs.set(entry, nowMs);
  }

  /**
   * Entries that asked lately; others are forgotten.
   * @example askers.recent(clock.nowMs()).length
   */
  recent(nowMs: number): string[] {
    for (const [entry, atMs] of this.lastRequestAtMs)
      if (nowMs - atMs > ACTIVE_WINDOW_MS) this.lastRequestAtMs.delete(entry);
    return [...this.lastRequestAtMs.keys()];
  }
}
