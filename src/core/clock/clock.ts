/** Clocks, timers and random sources, passed as arguments so that tests control time. */
import { performance } from 'node:perf_hooks';

/** Monotonic and wall clock of an instance. */
export interface Clock {
  /** Monotonic time, ms; for durations. */
  nowMs(): number;
  /** Wall-clock time, Unix ms; only for times sent between instances, within the skew bound. */
  wallMs(): number;
}

/** Returns a random number in [0, 1). */
export type Random = () => number;

/** The system clocks of this process. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Detects whether the process was stalled or suspended between two checks. */
export interface PauseDetector {
  /** Time since the last check if it exceeds the limit, otherwise 0, in ms. Counts as a check. */
  pausedMs(): number;
}

/**
 * Detects pauses of the process: a timer reads the clock, and a gap above the limit is a pause.
 * Callers check `pausedMs` just before they act, because they may run before the timer does.
 * @example const pause = pauseDetector(systemClock, 1500, onPause); pause.pausedMs();
 */
export function pauseDetector(
  clock: Clock,
  limitMs: number,
  onPause: (gapMs: number) => void,
): PauseDetector & { stop(): void } {
  const tickMs = Math.max(20, limitMs / 4);
  let last = clock.nowMs();
  const check = (): number => {
    const now = clock.nowMs();
    const gap = now - last;
    last = now;
    if (gap <= limitMs) return 0;
    onPause(gap);
    return gap;
  };
  const timer = setInterval(check, tickMs);
  timer.unref();
  return { pausedMs: check, stop: () => clearInterval(timer) };
}

/**
 * Waits for `ms`, or until the signal aborts; never rejects.
 * @example await sleep(500, signal);
 */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const done = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, ms);
    signal?.addEventListener('abort', done, { once: true });
  });
}

/**
 * Returns a seeded random source (mulberry32) for tests, benchmarks and traces.
 * @example const random = seededRandom(7); random();
 */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}
