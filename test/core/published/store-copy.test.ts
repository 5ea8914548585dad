/**
 * Story: the store is away for a moment and comes back from a copy that is some seconds old. What was written since the copy
 * is gone, revisions go back, and the next writes get revisions that a daemon has already seen under another meaning. A
 * daemon that goes on watching from its revision is told of what comes after that one alone: an endpoint that had begun to
 * leave goes on taking work, and one that had gone stays listed, for good. A "history is gone" tells only while
 * revisions are behind.
 * Evidence: all tests here failed on the code before, with the real client and follower: the daemon still gave work to both
 * endpoints 4 s later, dropped one that was about to be written again, gave work to one that had gone, and took a
 * configuration that the copy held for a proof of the newer one in force.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { startStore, type StoreFake } from '../../../fakes/store/index.js';
import { connectStore } from '../../../platform/store-client.js';
import { systemClock } from '../../../src/core/clock/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import { entryPace, followPublished, PublishedState } from '../../../src/core/published/index.js';
import { until } from '../../fixtures/until.js';

/** Time after which a daemon must have heard of what was published, ms: a wait of 1.2 s, a pause, and a busy machine. */
const HEARD_MS = 4000;
/** Time for which the store is away, ms. */
const AWAY_MS = 300;
/** Time in which operators and endpoints have written again what the copy lacks, ms. */
const REWRITE_MS = 2000;

const [A, B, C] = ['a', 'b', 'c'].map((id) => asId<EndpointId>(id)) as [
  EndpointId,
  EndpointId,
  EndpointId,
];

function record(state = 'ready'): object {
  return { service: 's-1', address: '10.0.0.1:80', zone: 'a', slots: 6, state };
}

function configOf(version: number, keys = ['k-1']): object {
  const tenants = [{ name: 'org-1', 'api-keys': keys, priority: 1 }];
  return { version, routes: [], services: [{ name: 's-1' }], limits: {}, tenants };
}

interface Followed {
  readonly store: StoreFake;
  readonly state: PublishedState;
  readonly events: string[];
}

/** A daemon that follows a store with one configuration and the endpoints a and b. */
async function followed(run: (followed: Followed) => Promise<void>): Promise<void> {
  const store = await startStore();
  store.put('op/config', configOf(1));
  for (const id of ['a', 'b']) store.put(`servers/${id}`, record());
  const state = new PublishedState();
  const ending = new AbortController();
  const events: string[] = [];
  const note = (event: string): void => void events.push(event);
  const done = followPublished(
    {
      source: connectStore(store.url),
      state,
      clock: systemClock,
      random: () => 0.5,
      log: { ...silentLog, info: note, warn: note },
      metrics: new Metrics(),
      pace: entryPace(3000),
    },
    ending.signal,
  );
  try {
    await until('all is known', () => state.list.size === 2 && state.config !== undefined, 5000);
    await run({ store, state, events });
  } finally {
    ending.abort();
    store.close();
    await done;
  }
}

/** Restores the store to what it held before `lost` was written, and writes what comes after it under the same revisions. */
async function restoreAcross(
  store: StoreFake,
  lost: () => void,
  heard: () => boolean,
  after: () => void,
): Promise<void> {
  const copy = store.copy();
  lost();
  await until('what will be lost was heard', heard, HEARD_MS);
  store.mood = 'reset';
  store.restore(copy);
  await wait(AWAY_MS);
  after();
  store.mood = 'well';
}

test('an endpoint that began to leave while the store was away takes no work, whatever its revision', async () => {
  await followed(async ({ store, state }) => {
    await restoreAcross(
      store,
      () => store.put('op/config', configOf(2)),
      () => state.config?.version === 2,
      () => {
        store.put(`servers/a`, record('draining'));
        store.put('op/config', configOf(2));
        for (let i = 0; i < 3; i += 1) store.put('op/config', configOf(3 + i));
      },
    );
    await until('a is known to leave', () => !state.takesWork(A), HEARD_MS);
    assert.equal(state.config?.version, 5);
    assert.equal(state.takesWork(B), true);
  });
});

test('an endpoint that is gone from the copy on is dropped once its time to be written again is over', async () => {
  await followed(async ({ store, state }) => {
    await restoreAcross(
      store,
      () => store.put('op/config', configOf(2)),
      () => state.config?.version === 2,
      () => {
        store.remove('servers/a');
        for (let i = 0; i < 3; i += 1) store.put('op/config', configOf(2 + i));
      },
    );
    await until('a is gone', () => !state.takesWork(A), HEARD_MS + REWRITE_MS);
    assert.equal(state.takesWork(B), true);
  });
});

test('an endpoint that joined after the copy is kept until it is written again', async () => {
  await followed(async ({ store, state }) => {
    let keptAlways = true;
    await restoreAcross(
      store,
      () => store.put('servers/c', record()),
      () => state.takesWork(C),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy was read', () => state.config?.version === 2, HEARD_MS);
    keptAlways &&= state.takesWork(C);
    store.put('servers/c', record());
    await wait(REWRITE_MS + 500);
    assert.ok(keptAlways && state.takesWork(C));
  });
});

test('an endpoint that had left before does not come back with the copy, by word or by silence', async () => {
  await followed(async ({ store, state }) => {
    await restoreAcross(
      store,
      () => {
        store.put('servers/a', record('draining'));
        store.remove('servers/b');
      },
      () => !state.takesWork(A) && !state.takesWork(B),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy was read', () => state.config?.version === 2, HEARD_MS);
    assert.deepEqual([state.takesWork(A), state.takesWork(B)], [false, false]);
    store.remove('servers/b');
    await wait(REWRITE_MS);
    assert.deepEqual([state.takesWork(A), state.takesWork(B)], [false, false]);
  });
});

test('an older configuration of the copy is not taken and proves nothing, nor does what may lack a newer one', async () => {
  await followed(async ({ store, state, events }) => {
    const copy = store.copy();
    store.put('op/config', configOf(2, []));
    await until('the key is taken away', () => state.config?.version === 2, HEARD_MS);
    store.mood = 'reset';
    store.restore(copy);
    await wait(AWAY_MS);
    store.mood = 'well';
    const backAtMs = systemClock.nowMs();
    await until('the copy was read', () => events.includes('config.older'), HEARD_MS);
    await wait(REWRITE_MS / 2);
    assert.equal(state.config?.version, 2);
    assert.ok(state.proofAgeMs(systemClock.nowMs()) > systemClock.nowMs() - backAtMs);
    store.put('op/config', configOf(2, []));
    await until(
      'it is proved again',
      () => state.proofAgeMs(systemClock.nowMs()) < 1500,
      HEARD_MS + REWRITE_MS,
    );
    assert.ok(systemClock.nowMs() - backAtMs >= REWRITE_MS);
  });
});
