/**
 * Scenario `crashing`: among normal traffic, callers repeatedly send requests to any entry that
 * crash every endpoint that starts to run them. Endpoints also crash by themselves.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { CRASH_DOWNTIME_MS, type Deployment } from './deployment.js';
import { recordDuring } from './faults.js';

/**
 * Paths of requests that crash endpoints. Below those that end with a slash no two requests are
 * alike, but for one part of their prompts.
 */
const CRASHING_PATHS = [
  '/again/crash-1',
  '/again/crash-2',
  '/stream/crash-3',
  '/again/part-1/',
  '/stream/part-2/',
];
/** Topics of prompts, each of one of so many requests. */
const TOPICS = 5;
/** Longest pause between two crashes that no request causes, ms. */
const MAX_CRASH_INTERVAL_MS = 1500;

/**
 * Crashes random endpoints while callers send crashing requests.
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
    const endpoint = endpoints[Math.floor(random() * endpoints.length)];
    if (endpoint)
      await recordDuring(deployment, 'crash', [endpoint.id], () =>
        endpoint.proxy.simulateCrash(CRASH_DOWNTIME_MS),
      );
    await sleep(MAX_CRASH_INTERVAL_MS * random());
  }
}

/**
 * As `crashEndpoints`, with prompts of a few topics: sound requests and those that crash endpoints
 * share more than their first part.
 * @example await crashEndpointsAmongTopics(deployment, random, 20_000);
 */
export async function crashEndpointsAmongTopics(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  deployment.promptTopics = TOPICS;
  await crashEndpoints(deployment, random, untilMs);
}
