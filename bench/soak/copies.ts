/**
 * The store comes back from an older copy again and again: what was written since is gone, its revisions are given out again, and
 * a moment later operators and endpoints write it anew. Around it a route and a key are taken away and an endpoint leaves.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreCopy, StoreFake } from '../../fakes/store/index.js';
import type { Deployment } from './deployment.js';
import { addRoute, announceLeaving, during, nextLeaving, removeRoute, takeKey } from './faults.js';

/** Time for a new route to be in force before it is taken away again, ms. */
const SETTLE_MS = 2500;
/** Longest time between the changes and the loss, ms: some daemons have heard of them by then and some have not. */
const LATEST_LOSS_MS = 1200;
/** Time for which the store is away, at least and at most, ms. */
const AWAY_MS = { least: 100, most: 1200 } as const;
/** Longest time after which what was lost is written again, ms. */
const LATEST_REWRITE_MS = 1500;
/** Time in which requests show what is in force, ms: a key may be honoured for 5 s. */
const SHOW_MS = 4500;

/**
 * Writes again all that a store held before it came back from a copy, but for what was written since: revisions run past those
 * that were seen before.
 */
function rewrite(store: StoreFake, held: StoreCopy, copy: StoreCopy): void {
  const now = store.copy().items;
  for (const key of now.keys()) if (!held.items.has(key)) store.remove(key);
  for (const [key, { value }] of held.items)
    if (now.get(key)?.value === copy.items.get(key)?.value) store.putRaw(key, value);
}

/** Cuts the ways to the store, or lets them fall silent: daemons that notice a failure read everything anew. */
function loseConnections({ entries, agents }: Deployment, isSilent: boolean): void {
  for (const { storeLink } of [...entries, ...agents]) {
    if (isSilent) storeLink.silence();
    else storeLink.reset();
  }
}

/**
 * The store is away for a moment, comes back from a copy, and what it has lost is written again, before the daemons reach it or
 * after. An endpoint begins to leave in between.
 */
function comesBackFrom(
  deployment: Deployment,
  random: () => number,
  copy: StoreCopy,
): Promise<void> {
  const { store } = deployment;
  return during(deployment, 'store-copy', ['store'], async () => {
    const held = store.copy();
    const isReachedFirst = random() < 0.5;
    const isSilent = random() < 0.5;
    loseConnections(deployment, isSilent);
    store.mood = isSilent ? 'silent' : 'reset';
    store.restore(copy);
    await sleep(AWAY_MS.least + (AWAY_MS.most - AWAY_MS.least) * random());
    if (isReachedFirst) store.mood = 'well';
    await sleep(LATEST_REWRITE_MS * random());
    const leaving = nextLeaving(deployment);
    if (leaving) announceLeaving(deployment, leaving);
    rewrite(store, held, copy);
    store.mood = 'well';
  });
}

/**
 * Lets the store come back from copies of itself while things change.
 * @example await comeBackFromCopies(deployment, random, 20_000);
 */
export async function comeBackFromCopies(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const route = addRoute(deployment);
    await sleep(SETTLE_MS);
    const copy = deployment.store.copy();
    removeRoute(deployment, route);
    takeKey(deployment);
    const leaving = nextLeaving(deployment);
    if (leaving) announceLeaving(deployment, leaving);
    await sleep(LATEST_LOSS_MS * random());
    await comesBackFrom(deployment, random, copy);
    await sleep(SHOW_MS);
  }
}
