/**
 * Scenario `asking`: endpoints send backpressure signals (Retry-After, leaving, rate limits) in
 * their responses: one, half or all endpoints of a service, repeatedly, while entries are killed,
 * stopped, suspended and cut off from the store.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { NO_BACKPRESSURE, type EndpointBackpressure } from '../../fakes/platform-engine/index.js';
import type { Deployment, SoakEndpoint } from './deployment.js';
import { disturbEntry, nextLeavingCandidate, pick } from './faults.js';

/** Retry-After values, s; a caller's deadline is 3 s. */
const BACKOFFS_S = [0.75, 1.5, 2.2];
/** Shares of requests that are rejected with Retry-After. */
const REJECTED_SHARES = [0.45, 1];
/** Rate limits sent by endpoints, requests/s. */
const LIMITS_PER_S = [0.5, 1.5, 4];
/** Shares of a service's endpoints that signal at the same time; at least one does. */
const SIGNALLING_SHARES = [0, 0.5, 1];
/** How long endpoints request backoff, ms. */
const BACKOFF_MS = { min: 1500, spread: 3000 } as const;
/** How long endpoints send a rate limit, ms; it must be enforced 3 s after it is first sent. */
const LIMIT_MS = { min: 8000, spread: 3000 } as const;
const MAX_PAUSE_MS = 600;

/** Picks the endpoints of one service that signal at the same time. */
function pickEndpoints({ endpoints }: Deployment, random: () => number): SoakEndpoint[] {
  const service = pick(['plain', 'model'], random);
  const all = endpoints.filter((e) => e.service === service && !e.signals.isLeaving);
  const count = Math.max(1, Math.round(all.length * pick(SIGNALLING_SHARES, random)));
  const from = Math.floor(random() * all.length);
  return Array.from(
    { length: Math.min(count, all.length) },
    (_, i) => all[(from + i) % all.length],
  ).filter((endpoint) => endpoint !== undefined);
}

/** Sets signals on endpoints for `forMs`, then clears them. */
async function signalDuring(
  endpoints: readonly SoakEndpoint[],
  signals: Partial<EndpointBackpressure>,
  forMs: number,
): Promise<void> {
  const cleared = Object.fromEntries(
    Object.keys(signals).map((name) => [name, NO_BACKPRESSURE[name as keyof EndpointBackpressure]]),
  );
  for (const endpoint of endpoints) endpoint.signals = { ...endpoint.signals, ...signals };
  await sleep(forMs);
  for (const endpoint of endpoints) endpoint.signals = { ...endpoint.signals, ...cleared };
}

/** Makes endpoints send a rate limit for `forMs` and records the period for the checker. */
export async function signalRateLimit(
  { rateLimitPeriods, nowMs }: Deployment,
  endpoints: readonly SoakEndpoint[],
  limitPerS: number,
  forMs: number,
): Promise<void> {
  const fromMs = nowMs();
  const periods = endpoints.map(({ id }) => ({
    endpoint: id,
    limitPerS,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
  }));
  rateLimitPeriods.push(...periods);
  await signalDuring(endpoints, { limitPerS }, forMs);
  for (const period of periods) period.untilMs = nowMs();
}

async function signalBackoffs(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const signals = {
      retryAfterS: pick(BACKOFFS_S, random),
      rejectedShare: pick(REJECTED_SHARES, random),
    };
    await signalDuring(
      pickEndpoints(deployment, random),
      signals,
      BACKOFF_MS.min + BACKOFF_MS.spread * random(),
    );
    await sleep(MAX_PAUSE_MS * random());
  }
}

async function signalRateLimits(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const limitPerS = pick(LIMITS_PER_S, random);
    const forMs = LIMIT_MS.min + LIMIT_MS.spread * random();
    await signalRateLimit(deployment, pickEndpoints(deployment, random), limitPerS, forMs);
    await sleep(MAX_PAUSE_MS * random());
  }
}

async function signalLeaving(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(2000 + 3000 * random());
    const staying = deployment.endpoints.filter(
      (e) => e.service === 'plain' && !e.signals.isLeaving,
    );
    const first = nextLeavingCandidate(deployment);
    const leaving = staying.find((endpoint) => endpoint.id !== first?.id);
    // At least two plain endpoints remain.
    if (leaving && staying.length > 2) leaving.signals = { ...leaving.signals, isLeaving: true };
  }
}

async function disturbEntries(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    await sleep(2500 * random());
    await disturbEntry(deployment, random);
  }
}

/**
 * Runs all backpressure signals while entries are disturbed.
 * @example await signalBackpressure(deployment, random, 20_000);
 */
export async function signalBackpressure(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  const all = [signalBackoffs, signalRateLimits, signalLeaving, disturbEntries];
  await Promise.all(all.map((sendSignals) => sendSignals(deployment, random, untilMs)));
}
