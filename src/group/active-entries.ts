/**
 * Tracks the entries that recently requested the group digest from an agent; their number tells
 * each entry its share of the group.
 */

/**
 * Time an entry counts as active after a request, ms: each entry sends one to some agent every 150
 * ms.
 */
const ACTIVE_WINDOW_MS = 1500;

/** Entries by the time of their last request, monotonic ms. */
export class ActiveEntries {
  private readonly lastRequestAtMs = new Map<string, number>();

  /** Records a request from an entry. */
  record(entry: string, nowMs: number): void {
    this.lastRequestAtMs.set(entry, nowMs);
  }

  /**
   * Returns the active entries and removes the expired ones.
   * @example activeEntries.recent(clock.nowMs()).length
   */
  recent(nowMs: number): string[] {
    for (const [entry, atMs] of this.lastRequestAtMs)
      if (nowMs - atMs > ACTIVE_WINDOW_MS) this.lastRequestAtMs.delete(entry);
    return [...this.lastRequestAtMs.keys()];
  }
}
