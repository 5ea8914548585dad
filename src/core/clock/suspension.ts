/**
 * A clock for ages that guarantees depend on, on instances that may be suspended. The monotonic
 * clock does not count suspended time, the wall clock does but can be set; Node has no clock that
 * counts suspended time and cannot be set.
 */
import type { Clock } from './clock.js';

/** Smallest wall-clock step that counts as a suspension, ms; slewing between two readings is smaller. */
const MIN_STEP_MS = 100;

/**
 * A monotonic clock that includes suspended time. When the wall clock has advanced further than the
 * monotonic clock since the last reading, the instance was suspended or its wall clock was set. The
 * two cannot be told apart, so the difference counts as elapsed time: held state ages by it and is
 * confirmed again within a second. Without this, an entry resuming from a 5 s suspension accepted a
 * key that had been revoked 7 s before (suspension.test). A reading costs 0.15 us more than reading
 * the monotonic clock alone, and makes no system call.
 *
 * Not detected: a suspension during which the wall clock is set back by the same amount.
 */
export class SuspensionClock implements Clock {
  private addedMs = 0;
  private offsetMs: number;

  /**
   * @param clock the underlying monotonic and wall clocks
   * @param onStep called with each step added to the monotonic time, ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly onStep: (stepMs: number) => void = () => undefined,
  ) {
    this.offsetMs = clock.wallMs() - clock.nowMs();
  }

  /**
   * Monotonic time including suspended time, ms.
   * @example const ageMs = clock.nowMs() - confirmedAtMs;
   */
  nowMs(): number {
    const monotonicMs = this.clock.nowMs();
    const offsetMs = this.clock.wallMs() - monotonicMs;
    const stepMs = offsetMs - this.offsetMs;
    this.offsetMs = offsetMs;
    if (stepMs >= MIN_STEP_MS) {
      this.addedMs += stepMs;
      this.onStep(stepMs);
    }
    return monotonicMs + this.addedMs;
  }

  /** Wall-clock time, Unix ms. */
  wallMs(): number {
    return this.clock.wallMs();
  }
}
