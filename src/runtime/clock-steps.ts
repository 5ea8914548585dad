/** Tells that the machine was suspended, or that its time was set. */
import type { Log } from '../core/logging/index.js';
import type { Metrics } from '../core/metrics/index.js';

/**
 * What is done at each step of the time of day ahead of the steady clock: a line and a counter.
 * @example new SuspensionClock(systemClock, noteStep(log, metrics))
 */
export function noteStep(log: Log, metrics: Metrics): (stepMs: number) => void {
  return (stepMs) => {
    metrics.count('clock_steps_total');
    log.warn('clock.stepped', { stepMs: Math.round(stepMs) });
  };
}
