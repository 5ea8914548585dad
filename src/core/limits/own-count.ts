/** How many streams an entry ran a moment ago, to set beside a count of the group that is as old. */

/** Time for which counts are kept, ms: what is told of a group is acted on for 3 s. */
const KEPT_MS = 4000;
/** Changes within this time are kept as one, ms: a few hundred entries at most. */
const GRAIN_MS = 20;

interface Count {
  readonly sinceMs: number;
  count: number;
}

/** Streams of one entry over the last seconds. Times are monotonic ms. */
export class OwnCount {
  private readonly counts: Count[] = [];

  /** Notes a new count. */
  note(count: number, nowMs: number): void {
    const last = this.counts.at(-1);
    if (last && nowMs - last.sinceMs < GRAIN_MS) last.count = count;
    else this.counts.push({ sinceMs: nowMs, count });
    // The last one before the kept time still tells what ran when it began.
    while ((this.counts[1]?.sinceMs ?? nowMs) < nowMs - KEPT_MS) this.counts.shift();
  }

  /**
   * The count at a time; 0 before the first.
   * @example counts.at(clock.nowMs() - 600)
   */
  at(atMs: number): number {
    return this.counts.findLast((count) => count.sinceMs <= atMs)?.count ?? 0;
  }
}
