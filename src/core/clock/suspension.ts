/**
 * Ages that a promise rests on, on machines that may be suspended. The steady clock of a process does not count the time for
 * which its machine was suspended, the time of day does; Node gives no clock that does both and cannot be set.
 */
import type { Clock } from './clock.js';

/** Least step of the time of day that counts as a suspension, ms: it is slewed by less between two looks. */
const LEAST_STEP_MS = 100;

/**
 * A clock that is never behind the time that has passed. When the time of day has gone ahead of the steady clock since the
 * last look, the machine was suspended or its time was set; that cannot be told apart here, so it counts as time that has
 * passed: what is known grows old by it, and is proved anew within a second. Without it a key that had been taken away for
 * 7 s was honoured by an entry that woke from 5 s of suspension (suspension.test). A look costs 0.15 us more than one at the
 * steady clock alone, and no call to the system.
 *
 * Not seen: a suspension during which the time of day is set back by as much.
 */
export class SuspensionClock implements Clock {
  private countedMs = 0;
  private offsetMs: number;

  /**
   * @param clock the steady clock and the time of day
   * @param onStep called with each step that is counted, ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly onStep: (stepMs: number) => void = () => undefined,
  ) {
    this.offsetMs = clock.wallMs() - clock.nowMs();
  }

  /**
   * Monotonic, ms, with time for which the machine was suspended.
   * @example const ageMs = clock.nowMs() - provedAtMs;
   */
  nowMs(): number {
    const steadyMs = this.clock.nowMs();
    const offsetMs = this.clock.wallMs() - steadyMs;
    const stepMs = offsetMs - this.offsetMs;
    this.offsetMs = offsetMs;
    if (stepMs >= LEAST_STEP_MS) {
      this.countedMs += stepMs;
      this.onStep(stepMs);
    }
    return steadyMs + this.countedMs;
  }

  /** The time of day, Unix ms. */
  wallMs(): number {
    return this.clock.wallMs();
  }
}
