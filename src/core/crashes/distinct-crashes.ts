/** Groups runs that ended with the same crash. */
import { LOST_TOGETHER_MS, MIN_RESTART_MS } from './consts.js';
import { isWholeRequest } from './traits.js';
import type { CrashedRun } from './types.js';

/** Whether a run was in flight when another one ended with a crash. */
function wasInFlight(run: CrashedRun, other: CrashedRun, slackMs: number): boolean {
  return run.sentAtMs < other.crashedAtMs + slackMs;
}

/** Whether two runs are of the same request, or of requests that differ only in their id. */
function haveSameContents(a: CrashedRun, b: CrashedRun): boolean {
  const request = a.traits.find(isWholeRequest);
  return request !== undefined && b.traits.includes(request);
}

/**
 * Whether two runs are attempts of one request, of which one begins when the one before has ended. Callers choose
 * the ids of their requests, and may use one for many.
 */
function areAttemptsOfOne(a: CrashedRun, b: CrashedRun): boolean {
  return a.request !== undefined && a.request === b.request && haveSameContents(a, b);
}

/** Whether two runs ended with the same crash: of their endpoint, or of endpoints lost together. */
export function isSameCrash(a: CrashedRun, b: CrashedRun): boolean {
  const isSameEndpoint = a.endpoint === b.endpoint;
  // A retry follows within 1 ms, and the times of runs seen by another entry are off by the transit of its reports.
  if (!isSameEndpoint && areAttemptsOfOne(a, b)) return false;
  const slackMs = isSameEndpoint ? MIN_RESTART_MS : 0;
  if (!wasInFlight(a, b, slackMs) || !wasInFlight(b, a, slackMs)) return false;
  return isSameEndpoint || Math.abs(a.crashedAtMs - b.crashedAtMs) < LOST_TOGETHER_MS;
}

/**
 * Whether two runs are one observation of what their requests have in common: they ended with the
 * same crash, or they are of the same request, which may crash endpoints by itself.
 */
export function isSameEvidence(a: CrashedRun, b: CrashedRun): boolean {
  return isSameCrash(a, b) || haveSameContents(a, b);
}

/**
 * Returns the first run of each group of runs that are the same, oldest first.
 * @example distinctCrashes(runs, isSameCrash).length // 2
 */
export function distinctCrashes(
  runs: readonly CrashedRun[],
  isSame: (a: CrashedRun, b: CrashedRun) => boolean,
): CrashedRun[] {
  const crashes: CrashedRun[] = [];
  const ordered = [...runs].sort((a, b) => a.crashedAtMs - b.crashedAtMs);
  for (const run of ordered) if (!crashes.some((crash) => isSame(crash, run))) crashes.push(run);
  return crashes;
}
