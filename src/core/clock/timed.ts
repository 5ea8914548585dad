/** Measures the duration of asynchronous work. */
import type { Clock } from './clock.js';

/**
 * Awaits a promise and reports how long it took, in ms, whether it resolves or rejects.
 * @example await timed(clock, call(), (ms) => metrics.observe('call_ms', ms));
 */
export async function timed<T>(
  clock: Clock,
  work: Promise<T>,
  onDuration: (tookMs: number) => void,
): Promise<T> {
  const startedAtMs = clock.nowMs();
  try {
    return await work;
  } finally {
    onDuration(clock.nowMs() - startedAtMs);
  }
}
