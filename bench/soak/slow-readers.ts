/**
 * Callers that read a large stream late or never. An endpoint whose answer stays unread resets its
 * connection; no entry may let that happen because its caller is slow.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { LARGE_SUFFIX } from '../../fakes/platform-engine/index.js';
import type { Deployment } from './deployment.js';
import { disturb } from './faults.js';
import type { CallerRequest, SoakRecord } from './record.js';

/** Times after which slow readers begin to read, ms, in turn; undefined for never. */
const READ_AFTER_MS: readonly (number | undefined)[] = [400, undefined, 1500, undefined, 2500];
/** Interval between slow readers in the scenario `slow-readers`, ms. */
const SCENARIO_INTERVAL_MS = 300;
/** The same among faults, ms. */
const INTERVAL_AMONG_FAULTS_MS = 3000;

/** Whether a request's caller reads slowly. */
export function isSlowReader(request: Pick<CallerRequest, 'id'>): boolean {
  return request.id.endsWith(LARGE_SUFFIX);
}

/**
 * Starts a slow reader every `intervalMs`.
 * @example await startSlowReaders(deployment, 10_000, 3000);
 */
export async function startSlowReaders(
  { slowReaders, nowMs }: Deployment,
  untilMs: number,
  intervalMs: number,
): Promise<void> {
  for (let n = 0; nowMs() < untilMs; n += 1) {
    slowReaders.push({ readAfterMs: READ_AFTER_MS[n % READ_AFTER_MS.length] });
    await sleep(intervalMs);
  }
}

/** Scenario `slow-readers`: no other fault, so that nothing excuses an answer left unread. */
export function readSlowly(
  deployment: Deployment,
  _random: () => number,
  untilMs: number,
): Promise<void> {
  return startSlowReaders(deployment, untilMs, SCENARIO_INTERVAL_MS);
}

/** Scenario `slow-readers-and-faults`: slow readers while instances fail as in the scenario `faults`. */
export async function readSlowlyAmongFaults(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  await Promise.all([
    disturb(deployment, random, untilMs),
    startSlowReaders(deployment, untilMs, INTERVAL_AMONG_FAULTS_MS),
  ]);
}

/** Entries that are not suspended read the answers of endpoints, however slowly callers read. */
export function checkAnswersAreRead({ unreadAnswers, disturbances }: SoakRecord): string[] {
  const pauses = disturbances.filter(({ kind }) => kind === 'pause');
  return unreadAnswers
    .filter(({ fromMs, atMs }) => !pauses.some((d) => d.fromMs < atMs && d.untilMs > fromMs))
    .map(
      ({ endpoint, fromMs, atMs }) =>
        `${endpoint}: unread from ${Math.round(fromMs)} to ${Math.round(atMs)} ms`,
    );
}
