/** Counts events over the last seconds. */
import type { Clock } from '../clock/index.js';

/** Buckets per window; counts are off by at most one bucket. */
const BUCKET_COUNT = 20;

/** Counts the events of a sliding window. */
export class SlidingWindowCounter {
  /** Counts by bucket, the newest last. */
  private readonly buckets: { readonly index: number; count: number }[] = [];

  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly windowMs: number,
  ) {}

  private get currentIndex(): number {
    return Math.floor((this.clock.nowMs() * BUCKET_COUNT) / this.windowMs);
  }

  /** Counts one event. */
  add(): void {
    const { currentIndex } = this;
    const last = this.buckets.at(-1);
    if (last?.index === currentIndex) last.count += 1;
    else this.buckets.push({ index: currentIndex, count: 1 });
    while ((this.buckets[0]?.index ?? currentIndex) < currentIndex - BUCKET_COUNT)
      this.buckets.shift();
  }

  /** Events of the last window and up to one bucket before it. */
  get upperBound(): number {
    return this.sumFrom(this.currentIndex - BUCKET_COUNT);
  }

  /** Events of the last window except up to one bucket of it. */
  get lowerBound(): number {
    return this.sumFrom(this.currentIndex - BUCKET_COUNT + 1);
  }

  private sumFrom(first: number): number {
    let sum = 0;
    for (const { index, count } of this.buckets) if (index >= first) sum += count;
    return sum;
  }
}
