/**
 * A store that fails briefly may be restored from a copy some seconds old. What was written since
 * the copy is lost, and later writes reuse revisions that daemons have already seen with other
 * content. A daemon that keeps watching from its revision misses the writes before it: a leaving
 * endpoint keeps receiving requests, and a removed one stays listed. An error for an unavailable
 * history only occurs while the store's revision is behind.
 * Failures guarded against, with the real client and follower: requests still sent to both
 * endpoints 4 s later; an endpoint dropped shortly before it was rewritten; requests sent to a
 * removed one; and an older configuration of the copy taken as confirmation of the newer active
 * one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { systemClock } from '../../../src/core/clock/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';
import { until } from '../../fixtures/until.js';
import {
  configOf,
  OUTAGE_MS,
  record,
  restoreAcross,
  UPDATE_TIMEOUT_MS,
  withFollowedStore,
} from './followed-store.js';

/** Time in which operators and endpoints rewrite what the copy lacks, ms. */
const REWRITE_MS = 2000;

const [A, B, C] = ['a', 'b', 'c'].map((id) => asId<EndpointId>(id)) as [
  EndpointId,
  EndpointId,
  EndpointId,
];

test('an endpoint that began to leave during the outage receives no requests, whatever its revision', async () => {
  await withFollowedStore(async ({ store, state }) => {
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
    await until('a is known to be leaving', () => !state.isAvailable(A), UPDATE_TIMEOUT_MS);
    assert.equal(state.config?.version, 5);
    assert.equal(state.isAvailable(B), true);
  });
});

test('an endpoint removed after the restore is dropped when the time for rewrites is over', async () => {
  await withFollowedStore(async ({ store, state }) => {
    await restoreAcross(
      store,
      () => store.put('op/config', configOf(2)),
      () => state.config?.version === 2,
      () => {
        store.remove('servers/a');
        for (let i = 0; i < 3; i += 1) store.put('op/config', configOf(2 + i));
      },
    );
    await until('a is removed', () => !state.isAvailable(A), UPDATE_TIMEOUT_MS + REWRITE_MS);
    assert.equal(state.isAvailable(B), true);
  });
});

test('an endpoint that joined after the copy was made is kept until it is rewritten', async () => {
  await withFollowedStore(async ({ store, state }) => {
    let keptAlways = true;
    await restoreAcross(
      store,
      () => store.put('servers/c', record()),
      () => state.isAvailable(C),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy is read', () => state.config?.version === 2, UPDATE_TIMEOUT_MS);
    keptAlways &&= state.isAvailable(C);
    store.put('servers/c', record());
    await wait(REWRITE_MS + 500);
    assert.ok(keptAlways && state.isAvailable(C));
  });
});

test('an endpoint that left or was removed before the restore does not return with the copy', async () => {
  await withFollowedStore(async ({ store, state }) => {
    await restoreAcross(
      store,
      () => {
        store.put('servers/a', record('draining'));
        store.remove('servers/b');
      },
      () => !state.isAvailable(A) && !state.isAvailable(B),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy is read', () => state.config?.version === 2, UPDATE_TIMEOUT_MS);
    assert.deepEqual([state.isAvailable(A), state.isAvailable(B)], [false, false]);
    store.remove('servers/b');
    await wait(REWRITE_MS);
    assert.deepEqual([state.isAvailable(A), state.isAvailable(B)], [false, false]);
  });
});

test('an older configuration of the copy is not applied and confirms nothing, nor does a read that may miss a newer one', async () => {
  await withFollowedStore(async ({ store, state, events }) => {
    const copy = store.snapshot();
    store.put('op/config', configOf(2, []));
    await until('the key is revoked', () => state.config?.version === 2, UPDATE_TIMEOUT_MS);
    store.mode = 'reset';
    store.restore(copy);
    await wait(OUTAGE_MS);
    store.mode = 'well';
    const backAtMs = systemClock.nowMs();
    await until('the copy is read', () => events.includes('config.older'), UPDATE_TIMEOUT_MS);
    await wait(REWRITE_MS / 2);
    assert.equal(state.config?.version, 2);
    assert.ok(state.confirmedAgoMs(systemClock.nowMs()) > systemClock.nowMs() - backAtMs);
    store.put('op/config', configOf(2, []));
    await until(
      'it is confirmed again',
      () => state.confirmedAgoMs(systemClock.nowMs()) < 1500,
      UPDATE_TIMEOUT_MS + REWRITE_MS,
    );
    assert.ok(systemClock.nowMs() - backAtMs >= REWRITE_MS);
  });
});
