/** Counts over the last seconds. */
import type { Clock } from '../clock/index.js';

/** Parts that a window is counted in: what is told is off by one of them at most. */
const PARTS = 20;

/** How many there were within a window that moves with the time. */
export class WindowCount {
  /** Counts by part of the time, the newest last. */
  private readonly parts: { readonly part: number; count: number }[] = [];

  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly windowMs: number,
  ) {}

  private get now(): number {
    return Math.floor((this.clock.nowMs() * PARTS) / this.windowMs);
  }

  /** Counts one more. */
  add(): void {
    const { now } = this;
    const last = this.parts.at(-1);
    if (last?.part === now) last.count += 1;
    else this.parts.push({ part: now, count: 1 });
    while ((this.parts[0]?.part ?? now) < now - PARTS) this.parts.shift();
  }

  /** Those of the last window, and of up to one part more. */
  get atMost(): number {
    return this.since(this.now - PARTS);
  }

  /** Those of the last window but for up to one part of it. */
  get atLeast(): number {
    return this.since(this.now - PARTS + 1);
  }

  private since(first: number): number {
    let sum = 0;
    for (const { part, count } of this.parts) if (part >= first) sum += count;
    return sum;
  }
}
