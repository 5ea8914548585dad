/**
 * Open connections fall silent for good, without a reset, while new ones work; in the same seconds a route is taken away
 * and an endpoint leaves. Only a time-out of whoever waits shows it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment } from './deployment.js';
import { addRoute, announceLeaving, during, nextLeaving, removeRoute } from './faults.js';

/** Time for a new route to be in force before it is taken away again, ms. */
const SETTLE_MS = 2500;
/** Longest further time that entries go without relays before the silence, ms: by then they ask the store alone. */
const LONGEST_ALONE_MS = 5000;
/** Longest time between the silence and the change, ms: entries are bound again 3 s after the silence. */
const LATEST_CHANGE_MS = 2500;
/** Time in which requests show what is in force, ms. */
const SHOW_MS = 3000;

/** Silences all open connections: to the store, between daemons, to endpoints. */
function silence(deployment: Deployment): Promise<void> {
  const { entries, agents, relayLinks, endpoints } = deployment;
  const instances = [...entries, ...agents];
  const links = [
    ...instances.map(({ storeLink }) => storeLink),
    ...relayLinks,
    ...endpoints.map(({ proxy }) => proxy),
  ];
  const targets = [...instances.map(({ name }) => name), ...endpoints.map(({ id }) => id)];
  return during(deployment, 'silence', targets, () => {
    for (const link of links) link.silence();
  });
}

/**
 * Lets the entries that tell others what is published stand still while `act` runs, so that the others ask the store.
 */
function withoutRelays(deployment: Deployment, act: () => Promise<void>): Promise<void> {
  const relays = deployment.entries.slice(0, deployment.relayLinks.length);
  const names = relays.map(({ name }) => name);
  return during(deployment, 'pause', names, async () => {
    for (const { program } of relays) program.pause(true);
    await act();
    for (const { program } of relays) program.pause(false);
  });
}

/** Lets an endpoint leave: it says so, or its record only goes. */
function leave(deployment: Deployment, saysSo: boolean): void {
  const leaving = nextLeaving(deployment);
  if (!leaving) return;
  if (saysSo) return announceLeaving(deployment, leaving);
  deployment.store.remove(`servers/${leaving.id}`);
  deployment.withdrawals.push({ what: 'endpoint', name: leaving.id, atMs: deployment.nowMs() });
}

/** Silences all connections, and then a route is taken away and an endpoint leaves; requests show what is in force. */
async function silenceAndChange(
  deployment: Deployment,
  random: () => number,
  route: string,
): Promise<void> {
  await silence(deployment);
  await sleep(LATEST_CHANGE_MS * random());
  removeRoute(deployment, route);
  leave(deployment, random() < 0.5);
  await sleep(SHOW_MS + 1000 * random());
}

/** Adds a route and lets it come into force, then acts with it, again and again. */
async function withRoutes(
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
 * Silences all connections again and again while things change.
 * @example await silenceWhileThingsChange(deployment, random, 20_000);
 */
export function silenceWhileThingsChange(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  return withRoutes(deployment, untilMs, (route) => silenceAndChange(deployment, random, route));
}

/**
 * The same while the entries that others hear from stand still, so that the others ask the store.
 * @example await silenceWithoutRelays(deployment, random, 20_000);
 */
export function silenceWithoutRelays(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  return withRoutes(deployment, untilMs, (route) =>
    withoutRelays(deployment, async () => {
      await sleep(SETTLE_MS + LONGEST_ALONE_MS * random());
      await silenceAndChange(deployment, random, route);
    }),
  );
}
