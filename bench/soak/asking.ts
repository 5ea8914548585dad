/**
 * Endpoints ask for rest, leave and name limits in their answers, one, half or all of those of a service, again and again, while
 * entries are killed, stopped, paused and cut off from the store.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { NO_ASKS, type EngineAsks } from '../../fakes/platform-engine/index.js';
import type { Deployment, SoakEndpoint } from './deployment.js';
import { entryTrouble, nextLeaving, pick } from './faults.js';

/** Rests that are asked for, s; the callers' own time is 3 s. */
const RESTS_S = [0.75, 1.5, 2.2];
/** Shares of the requests that are turned away with it. */
const REST_SHARES = [0.45, 1];
/** Limits that are named, requests a second. */
const LIMITS_PER_S = [0.5, 1.5, 4];
/** Shares of a service's endpoints that ask at once; at least one does. */
const ASKING_SHARES = [0, 0.5, 1];
/** How long endpoints ask for rest, ms. */
const REST_MS = { least: 1500, more: 3000 } as const;
/** How long they name a limit, ms: it binds 3 s after it was named first. */
const LIMIT_MS = { least: 8000, more: 3000 } as const;
const PAUSE_MS = 600;

/** Endpoints of one service that ask at once. */
function someOf({ endpoints }: Deployment, random: () => number): SoakEndpoint[] {
  const service = pick(['plain', 'model'], random);
  const all = endpoints.filter((e) => e.service === service && !e.asks.isLeaving);
  const count = Math.max(1, Math.round(all.length * pick(ASKING_SHARES, random)));
  const from = Math.floor(random() * all.length);
  return Array.from(
    { length: Math.min(count, all.length) },
    (_, i) => all[(from + i) % all.length],
  ).filter((endpoint) => endpoint !== undefined);
}

/** Lets endpoints ask for something for a while. */
async function during(
  endpoints: readonly SoakEndpoint[],
  asks: Partial<EngineAsks>,
  forMs: number,
): Promise<void> {
  const none = Object.fromEntries(
    Object.keys(asks).map((name) => [name, NO_ASKS[name as keyof EngineAsks]]),
  );
  for (const endpoint of endpoints) endpoint.asks = { ...endpoint.asks, ...asks };
  await sleep(forMs);
  for (const endpoint of endpoints) endpoint.asks = { ...endpoint.asks, ...none };
}

/** Lets endpoints name a limit for a while. */
export async function inNeed(
  { needs, nowMs }: Deployment,
  endpoints: readonly SoakEndpoint[],
  limitPerS: number,
  forMs: number,
): Promise<void> {
  const fromMs = nowMs();
  const own = endpoints.map(({ id }) => ({
    endpoint: id,
    limitPerS,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
  }));
  needs.push(...own);
  await during(endpoints, { limitPerS }, forMs);
  for (const need of own) need.untilMs = nowMs();
}

async function restsOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const asks = { restS: pick(RESTS_S, random), restShare: pick(REST_SHARES, random) };
    await during(someOf(deployment, random), asks, REST_MS.least + REST_MS.more * random());
    await sleep(PAUSE_MS * random());
  }
}

async function limitsOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const limitPerS = pick(LIMITS_PER_S, random);
    const forMs = LIMIT_MS.least + LIMIT_MS.more * random();
    await inNeed(deployment, someOf(deployment, random), limitPerS, forMs);
    await sleep(PAUSE_MS * random());
  }
}

async function leavingOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(2000 + 3000 * random());
    const staying = deployment.endpoints.filter((e) => e.service === 'plain' && !e.asks.isLeaving);
    const first = nextLeaving(deployment);
    const leaving = staying.find((endpoint) => endpoint.id !== first?.id);
    // Two stay in any case.
    if (leaving && staying.length > 2) leaving.asks = { ...leaving.asks, isLeaving: true };
  }
}

async function troubleOn(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(2500 * random());
    await entryTrouble(deployment, random);
  }
}

/**
 * Lets endpoints ask for things while entries are disturbed.
 * @example await askThings(deployment, random, 20_000);
 */
export async function askThings(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const all = [restsOn, limitsOn, leavingOn, troubleOn];
  await Promise.all(all.map((play) => play(deployment, random, untilMs)));
}
