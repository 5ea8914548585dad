/** Reports clock steps: the machine was suspended, or its wall clock was set. */
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';

/**
 * Returns a callback for steps of the wall clock ahead of the monotonic clock; it logs and counts them.
 * @example new SuspensionClock(systemClock, reportClockSteps(log, metrics))
 */
export function reportClockSteps(log: Log, metrics: Metrics): (stepMs: number) => void {
  return (stepMs) => {
    metrics.count('clock_steps_total');
    log.warn('clock.stepped', { stepMs: Math.round(stepMs) });
  };
}
