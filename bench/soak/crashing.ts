/**
 * Callers send requests that crash each endpoint that begins to run them, again and again and to any entry, among all others; and
 * endpoints fall by themselves.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { FALLEN_MS, type Deployment } from './deployment.js';
import { during } from './faults.js';

/** Requests that crash endpoints. */
const CRASHING_PATHS = ['/again/crash-1', '/again/crash-2', '/stream/crash-3'];
/** Longest pause between two falls of endpoints by themselves, ms. */
const FALL_PAUSE_MS = 1500;

/**
 * Lets endpoints fall by themselves while crashing requests come.
 * @example await crashEndpoints(deployment, random, 20_000);
 */
export async function crashEndpoints(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const { crashingPaths, endpoints, nowMs } = deployment;
  crashingPaths.push(...CRASHING_PATHS);
  while (nowMs() < untilMs) {
    const falling = endpoints[Math.floor(random() * endpoints.length)];
    if (falling)
      await during(deployment, 'fall', [falling.id], () => falling.proxy.fall(FALLEN_MS));
    await sleep(FALL_PAUSE_MS * random());
  }
}
