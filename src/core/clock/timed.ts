/** Times of work that goes on. */
import type { Clock } from './clock.js';

/**
 * Passes work through and tells how long it took, ms, also when it failed.
 * @example await timed(clock, call(), (ms) => metrics.observe('call_ms', ms));
 */
export async function timed<T>(
  clock: Clock,
  work: Promise<T>,
  note: (tookMs: number) => void,
): Promise<T> {
  const startedAtMs = clock.nowMs();
  try {
    return await work;
  } finally {
    note(clock.nowMs() - startedAtMs);
  }
}
