/**
 * Scenario `copies`: the store is restored from an older copy repeatedly. Writes since the copy are
 * lost, their revisions are reused, and shortly later operators and endpoints write them again.
 * Around each restore a route and a key are removed and endpoints leave.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreSnapshot, FakeStore } from '../../fakes/store/index.js';
import type { Deployment } from './deployment.js';
import {
  addRoute,
  announceLeaving,
  recordDuring,
  nextLeavingCandidate,
  removeRoute,
  removeKey,
} from './faults.js';

/** Time for a new route to be applied before it is removed, ms. */
const SETTLE_MS = 2500;
/**
 * Longest time from the changes to the restore, ms: only some daemons have received them by then.
 */
const MAX_RESTORE_DELAY_MS = 1200;
/** Minimum and maximum duration of the store outage, ms. */
const OUTAGE_MS = { min: 100, max: 1200 } as const;
/** Longest delay before lost writes are repeated, ms. */
const MAX_REWRITE_DELAY_MS = 1500;
/** Time in which requests show which state is applied, ms; a removed key may work for 5 s. */
const OBSERVE_MS = 4500;

/**
 * Repeats the writes that a restore lost, except for keys written since. Revisions then exceed
 * those seen before the restore.
 */
function rewrite(store: FakeStore, before: StoreSnapshot, copy: StoreSnapshot): void {
  const current = store.snapshot().items;
  for (const key of current.keys()) if (!before.items.has(key)) store.remove(key);
  for (const [key, { value }] of before.items)
    if (current.get(key)?.value === copy.items.get(key)?.value) store.putRaw(key, value);
}

/**
 * Resets or silences all links to the store; daemons that notice a failure read everything again.
 */
function disruptStoreLinks({ entries, agents }: Deployment, isSilent: boolean): void {
  for (const { storeLink } of [...entries, ...agents]) {
    if (isSilent) storeLink.blackholeConnections();
    else storeLink.reset();
  }
}

/**
 * Takes the store down, restores it from a copy, and repeats the lost writes before or after the
 * daemons can reach it. An endpoint announces that it leaves in between.
 */
function restoreFrom(
  deployment: Deployment,
  random: () => number,
  copy: StoreSnapshot,
): Promise<void> {
  const { store } = deployment;
  return recordDuring(deployment, 'store-copy', ['store'], async () => {
    const before = store.snapshot();
    const isReachableBeforeRewrite = random() < 0.5;
    const isSilent = random() < 0.5;
    disruptStoreLinks(deployment, isSilent);
    store.mode = isSilent ? 'silent' : 'reset';
    store.restore(copy);
    await sleep(OUTAGE_MS.min + (OUTAGE_MS.max - OUTAGE_MS.min) * random());
    if (isReachableBeforeRewrite) store.mode = 'well';
    await sleep(MAX_REWRITE_DELAY_MS * random());
    const leaving = nextLeavingCandidate(deployment);
    if (leaving) announceLeaving(deployment, leaving);
    rewrite(store, before, copy);
    store.mode = 'well';
  });
}

/**
 * Restores the store from copies of itself while routes, keys and endpoints change.
 * @example await restoreFromCopies(deployment, random, 20_000);
 */
export async function restoreFromCopies(
  deployment: Deployment,
  random: () => number,
  untilMs: number,
): Promise<void> {
  while (deployment.nowMs() < untilMs) {
    const route = addRoute(deployment);
    await sleep(SETTLE_MS);
    const copy = deployment.store.snapshot();
    removeRoute(deployment, route);
    removeKey(deployment);
    const leaving = nextLeavingCandidate(deployment);
    if (leaving) announceLeaving(deployment, leaving);
    await sleep(MAX_RESTORE_DELAY_MS * random());
    await restoreFrom(deployment, random, copy);
    await sleep(OBSERVE_MS);
  }
}
