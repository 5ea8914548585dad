/** Real time, for a simulated group that works with real processes. */
import type { GroupTime } from './rank-group.js';

/** Clock and timers of this process, until they are stopped. */
export class WallTime implements GroupTime {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly startedAtMs = performance.now();

  /** Time since this object was created, ms; starts at 0 as virtual time does. */
  readonly nowMs = (): number => performance.now() - this.startedAtMs;

  /** Calls `run` after `ms`, unless stopped before. */
  after(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, ms);
    this.timers.add(timer);
  }

  readonly sleep = (ms: number): Promise<void> => new Promise((resolve) => this.after(ms, resolve));

  /** Cancels all timers; pending sleeps never resolve. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}
