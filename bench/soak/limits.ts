/**
 * Scenario `limits`: all endpoints of a service repeatedly send a rate limit for a long time, while
 * callers pause and resume, and entries, including relays, are killed, stopped, suspended and cut
 * off from the store.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { signalRateLimit } from './backpressure.js';
import type { Deployment } from './deployment.js';
import { disturbEntry, pick, disturbRelay } from './faults.js';

/** Rate limits sent by endpoints, requests/s. */
const LIMITS_PER_S = [0.5, 1, 4];
/** How long a rate limit is sent, ms. */
const LIMIT_MS = { min: 24_000, spread: 8000 } as const;
/** How long callers pause and how long they send, ms. */
const CALLERS_PAUSED_MS = { min: 15_500, spread: 2000 } as const;
const CALLERS_ACTIVE_MS = { min: 2000, spread: 6000 } as const;
/**
 * Time from the last limit to the end of the scenario, ms; entries increase their rate gradually
 * after a limit ends.
 */
const RELEASE_MS = 8000;

const durationIn = (
  { min, spread }: typeof LIMIT_MS | typeof CALLERS_PAUSED_MS | typeof CALLERS_ACTIVE_MS,
  r: number,
) => min + spread * r;

async function signalRateLimits(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const service = pick(['plain', 'model'], random);
    const endpoints = deployment.endpoints.filter((e) => e.service === service);
    const forMs = Math.min(durationIn(LIMIT_MS, random()), untilMs - deployment.nowMs());
    await signalRateLimit(deployment, endpoints, pick(LIMITS_PER_S, random), forMs);
    await sleep(2000 * random());
  }
}

async function pauseCallers(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(durationIn(CALLERS_ACTIVE_MS, random()));
    deployment.areCallersPaused = true;
    await sleep(durationIn(CALLERS_PAUSED_MS, random()));
    deployment.areCallersPaused = false;
  }
}

async function disturbEntries(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(4000 * random());
    await pick([disturbEntry, disturbRelay], random)(deployment, random);
  }
}

/**
 * Makes endpoints send long-lasting rate limits while entries are disturbed.
 * @example await signalLongRateLimits(deployment, random, 30_000);
 */
export async function signalLongRateLimits(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const limitsUntilMs = untilMs - RELEASE_MS;
  await Promise.all([
    signalRateLimits(deployment, random, limitsUntilMs),
    pauseCallers(deployment, random, limitsUntilMs),
    disturbEntries(deployment, random, limitsUntilMs),
  ]);
  await sleep(Math.max(0, untilMs - deployment.nowMs()));
}
