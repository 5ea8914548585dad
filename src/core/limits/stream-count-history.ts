/**
 * Recent stream counts of an entry, to compare with a count of the whole group that is equally old.
 */

/** Time for which counts are kept, ms; a count of the group is used for up to 3 s. */
const RETENTION_MS = 4000;
/**
 * Changes within this time are stored as one sample, ms, which keeps at most a few hundred samples.
 */
const RESOLUTION_MS = 20;

interface Sample {
  readonly sinceMs: number;
  count: number;
}

/** In-flight streams of one entry over the last seconds. Times are monotonic ms. */
export class StreamCountHistory {
  private readonly samples: Sample[] = [];

  /** Notes a new count. */
  note(count: number, nowMs: number): void {
    const last = this.samples.at(-1);
    if (last && nowMs - last.sinceMs < RESOLUTION_MS) last.count = count;
    else this.samples.push({ sinceMs: nowMs, count });
    // The last sample before the retention time still holds the count at its start.
    while ((this.samples[1]?.sinceMs ?? nowMs) < nowMs - RETENTION_MS) this.samples.shift();
  }

  /**
   * The count at a time; 0 before the first sample.
   * @example history.countAt(clock.nowMs() - 600)
   */
  countAt(atMs: number): number {
    return this.samples.findLast((sample) => sample.sinceMs <= atMs)?.count ?? 0;
  }
}
