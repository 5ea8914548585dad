/** Real time for a group that is played with real processes; its timers end with it. */
import type { GroupTime } from './rank-group.js';

/** The time of this process, until it is stopped. */
export class WallTime implements GroupTime {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly startedAtMs = performance.now();

  /** Ms since this time began, as in played time. */
  readonly nowMs = (): number => performance.now() - this.startedAtMs;

  /** Calls back after so many ms, unless the time is stopped before. */
  after(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, ms);
    this.timers.add(timer);
  }

  readonly sleep = (ms: number): Promise<void> => new Promise((resolve) => this.after(ms, resolve));

  /** Ends all timers; what sleeps never wakes. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }
}
