/**
 * Scenarios `silence` and `silence-without-relays`: open connections become unresponsive for good,
 * without a reset, while new ones work. Within the same seconds a route is removed and an endpoint
 * leaves. Only a timeout can detect such a connection.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment } from './deployment.js';
import {
  addRoute,
  announceLeaving,
  recordDuring,
  nextLeavingCandidate,
  removeRoute,
} from './faults.js';

/** Time for a new route to be applied before it is removed, ms. */
const SETTLE_MS = 2500;
/**
 * Longest additional time without relays before the silence, ms; by then entries read only
 * from the store.
 */
const MAX_DIRECT_MS = 5000;
/**
 * Longest time from the silence to the change, ms; entries must be up to date again 3 s after the
 * silence.
 */
const MAX_CHANGE_DELAY_MS = 2500;
/** Time in which requests show which state is applied, ms. */
const OBSERVE_MS = 3000;

/** Makes all open connections unresponsive: to the store, between daemons, and to endpoints. */
function silenceAllLinks(deployment: Deployment): Promise<void> {
  const { entries, agents, relayLinks, endpoints } = deployment;
  const instances = [...entries, ...agents];
  const links = [
    ...instances.map(({ storeLink }) => storeLink),
    ...relayLinks,
    ...endpoints.map(({ proxy }) => proxy),
  ];
  const targets = [...instances.map(({ name }) => name), ...endpoints.map(({ id }) => id)];
  return recordDuring(deployment, 'silence', targets, () => {
    for (const link of links) link.blackholeConnections();
  });
}

/**
 * Suspends the relays of the published state while `act` runs, so that other entries use the store.
 */
function withoutRelays(deployment: Deployment, act: () => Promise<void>): Promise<void> {
  const relays = deployment.entries.slice(0, deployment.relayLinks.length);
  const names = relays.map(({ name }) => name);
  return recordDuring(deployment, 'pause', names, async () => {
    for (const { program } of relays) program.setSuspended(true);
    await act();
    for (const { program } of relays) program.setSuspended(false);
  });
}

/** Lets an endpoint leave: it either announces that, or only its record is removed. */
function removeEndpoint(deployment: Deployment, isAnnounced: boolean): void {
  const leaving = nextLeavingCandidate(deployment);
  if (!leaving) return;
  if (isAnnounced) return announceLeaving(deployment, leaving);
  deployment.store.remove(`servers/${leaving.id}`);
  deployment.removals.push({ resource: 'endpoint', name: leaving.id, atMs: deployment.nowMs() });
}

/**
 * Silences all connections, then removes a route and an endpoint and waits for requests to show the
 * effect.
 */
async function silenceAndChange(
  deployment: Deployment,
  random: () => number,
  route: string,
): Promise<void> {
  await silenceAllLinks(deployment);
  await sleep(MAX_CHANGE_DELAY_MS * random());
  removeRoute(deployment, route);
  removeEndpoint(deployment, random() < 0.5);
  await sleep(OBSERVE_MS + 1000 * random());
}

/** Repeatedly adds a route, waits until it is applied, and runs `act` with it. */
async function repeatWithNewRoute(
  deployment: Deployment,
  untilMs: number,
  act: (route: string) => Promise<void>,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const route = addRoute(deployment);
    await sleep(SETTLE_MS);
    await act(route);
  }
}

/**
 * Repeatedly silences all connections while routes and endpoints change.
 * @example await silenceDuringChanges(deployment, random, 20_000);
 */
export function silenceDuringChanges(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  return repeatWithNewRoute(deployment, untilMs, (route) =>
    silenceAndChange(deployment, random, route),
  );
}

/**
 * Like `silenceDuringChanges`, but with suspended relays, so that other entries use the store.
 * @example await silenceWithoutRelays(deployment, random, 20_000);
 */
export function silenceWithoutRelays(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  return repeatWithNewRoute(deployment, untilMs, (route) =>
    withoutRelays(deployment, async () => {
      await sleep(SETTLE_MS + MAX_DIRECT_MS * random());
      await silenceAndChange(deployment, random, route);
    }),
  );
}
