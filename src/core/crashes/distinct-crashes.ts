/** Groups runs that ended with the same crash. */
import { LOST_TOGETHER_MS, MIN_RESTART_MS } from './consts.js';
import type { CrashedRun } from './types.js';

/** Whether a run was in flight when another one ended with a crash. */
function wasInFlight(run: CrashedRun, other: CrashedRun, slackMs: number): boolean {
  return run.sentAtMs < other.crashedAtMs + slackMs;
}

/** Whether two runs ended with the same crash: of their endpoint, or of endpoints lost together. */
export function isSameCrash(a: CrashedRun, b: CrashedRun): boolean {
  const isSameEndpoint = a.endpoint === b.endpoint;
  const slackMs = isSameEndpoint ? MIN_RESTART_MS : 0;
  if (!wasInFlight(a, b, slackMs) || !wasInFlight(b, a, slackMs)) return false;
  return isSameEndpoint || Math.abs(a.crashedAtMs - b.crashedAtMs) < LOST_TOGETHER_MS;
}

/**
 * Returns the first run of each crash, oldest first.
 * @example distinctCrashes(runs).length // 2
 */
export function distinctCrashes(runs: readonly CrashedRun[]): CrashedRun[] {
  const crashes: CrashedRun[] = [];
  const ordered = [...runs].sort((a, b) => a.crashedAtMs - b.crashedAtMs);
  for (const run of ordered)
    if (!crashes.some((crash) => isSameCrash(crash, run))) crashes.push(run);
  return crashes;
}
