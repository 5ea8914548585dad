/** Fixture: a daemon that follows a store with the real client, and a store restored from a copy. */
import { setTimeout as wait } from 'node:timers/promises';
import { startStore, type FakeStore } from '../../../fakes/store/index.js';
import { connectStore } from '../../../platform/store-client.js';
import { systemClock } from '../../../src/core/clock/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import { entryPace, followPublished, PublishedState } from '../../../src/core/published/index.js';
import { until } from '../../fixtures/until.js';

/**
 * Time within which a daemon must receive what was published, ms: a wait of 1.2 s, a pause and a
 * margin for a busy machine.
 */
export const UPDATE_TIMEOUT_MS = 4000;
/** Duration of the store outage, ms. */
export const OUTAGE_MS = 300;

export function record(state = 'ready'): object {
  return { service: 's-1', address: '10.0.0.1:80', zone: 'a', slots: 6, state };
}

export function configOf(version: number, keys = ['k-1']): object {
  const tenants = [{ name: 'org-1', 'api-keys': keys, priority: 1 }];
  return { version, routes: [], services: [{ name: 's-1' }], limits: {}, tenants };
}

export interface FollowedStore {
  readonly store: FakeStore;
  readonly state: PublishedState;
  readonly events: string[];
}

/** Runs a daemon that follows a store with one configuration and the endpoints a and b. */
export async function withFollowedStore(
  run: (followed: FollowedStore) => Promise<void>,
): Promise<void> {
  const store = await startStore();
  store.put('op/config', configOf(1));
  for (const id of ['a', 'b']) store.put(`servers/${id}`, record());
  const state = new PublishedState();
  const controller = new AbortController();
  const events: string[] = [];
  const recordEvent = (event: string): void => void events.push(event);
  const done = followPublished(
    {
      source: connectStore(store.url),
      state,
      clock: systemClock,
      random: () => 0.5,
      log: { ...silentLog, info: recordEvent, warn: recordEvent },
      metrics: new Metrics(),
      pace: entryPace(3000),
    },
    controller.signal,
  );
  try {
    await until(
      'everything is received',
      () => state.list.size === 2 && state.config !== undefined,
      5000,
    );
    await run({ store, state, events });
  } finally {
    controller.abort();
    store.close();
    await done;
  }
}

/**
 * Restores the store to its state before `lost` was written, then writes `after` under the same
 * revisions.
 */
export async function restoreAcross(
  store: FakeStore,
  lost: () => void,
  isReceived: () => boolean,
  after: () => void,
): Promise<void> {
  const copy = store.snapshot();
  lost();
  await until('the writes to be lost are received', isReceived, UPDATE_TIMEOUT_MS);
  store.mode = 'reset';
  store.restore(copy);
  await wait(OUTAGE_MS);
  after();
  store.mode = 'well';
}
