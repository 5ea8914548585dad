/**
 * All endpoints of a service name a rate limit for a long time, again and again, while callers fall silent and resume, and entries
 * are killed, stopped, paused and cut off, relays among them.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { inNeed } from './asking.js';
import type { Deployment } from './deployment.js';
import { entryTrouble, pick, relayTrouble } from './faults.js';

/** Limits, requests/s. */
const LIMITS_PER_S = [0.5, 1, 4];
/** How long a limit is named, ms. */
const LIMIT_MS = { least: 24_000, more: 8000 } as const;
/** Time in which callers are silent, or ask, ms. */
const QUIET_MS = { least: 15_500, more: 2000 } as const;
const BUSY_MS = { least: 2000, more: 6000 } as const;
/** Time between the last limit and the end of the play, ms: entries send more and more after a limit ends. */
const RELEASED_MS = 8000;

const between = ({ least, more }: typeof LIMIT_MS | typeof QUIET_MS | typeof BUSY_MS, r: number) =>
  least + more * r;

async function limitsOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const service = pick(['plain', 'model'], random);
    const endpoints = deployment.endpoints.filter((e) => e.service === service);
    const forMs = Math.min(between(LIMIT_MS, random()), untilMs - deployment.nowMs());
    await inNeed(deployment, endpoints, pick(LIMITS_PER_S, random), forMs);
    await sleep(2000 * random());
  }
}

async function wavesOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(between(BUSY_MS, random()));
    deployment.isQuiet = true;
    await sleep(between(QUIET_MS, random()));
    deployment.isQuiet = false;
  }
}

async function troubleOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(4000 * random());
    await pick([entryTrouble, relayTrouble], random)(deployment, random);
  }
}

/**
 * Lets endpoints name limits while entries are disturbed.
 * @example await nameLimits(deployment, random, 30_000);
 */
export async function nameLimits(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const limitsUntilMs = untilMs - RELEASED_MS;
  await Promise.all([
    limitsOn(deployment, random, limitsUntilMs),
    wavesOn(deployment, random, limitsUntilMs),
    troubleOn(deployment, random, limitsUntilMs),
  ]);
  await sleep(Math.max(0, untilMs - deployment.nowMs()));
}
