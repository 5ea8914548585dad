import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Clock } from '../../../src/core/clock/index.js';
import { asId } from '../../../src/core/ids/index.js';
import {
  endpointFrom,
  PublishedRelay,
  PublishedState,
  type PublishedEndpoint,
} from '../../../src/core/published/index.js';
import type { PublishedRequest } from '../../../src/generated/messages.types.js';
import { isPublishedUpdate } from '../../../src/generated/messages.validator.js';
import { config, endpoint, route } from '../../gateway/harness.js';

interface RelayFixture {
  readonly state: PublishedState;
  readonly relay: PublishedRelay;
  nowMs: number;
  /** Applies a list and a configuration version that are confirmed as current now. */
  publish(endpoints: readonly PublishedEndpoint[], version?: number): void;
}

function startRelay(life = 'l-1'): RelayFixture {
  const state = new PublishedState();
  const clock: Clock = { nowMs: () => fixture.nowMs, wallMs: () => fixture.nowMs };
  const relay = new PublishedRelay({ state, clock, life: asId(life), isDirect: () => true });
  const fixture: RelayFixture = {
    state,
    relay,
    nowMs: 1000,
    publish: (endpoints, version = 1) => {
      state.offerConfig(config([route()], { version }), fixture.nowMs);
      state.offerList(endpoints, false);
      relay.recordChanges();
    },
  };
  return fixture;
}

const requestOf = (change: Partial<PublishedRequest> = {}): PublishedRequest => ({
  life: '',
  sequence: 0,
  waitMs: 0,
  wantsProof: true,
  ...change,
});

const A = endpoint('a', '10.0.0.1:1');
const B = endpoint('b', '10.0.0.2:1');

test('the first response contains everything, with the version and the age of its confirmation', async () => {
  const fixture = startRelay();
  fixture.publish([A, B], 7);
  fixture.nowMs += 300;
  const update = await fixture.relay.answer(requestOf());
  assert.ok(isPublishedUpdate(JSON.parse(JSON.stringify(update))));
  assert.deepEqual(update.written.map(endpointFrom), [A, B]);
  assert.deepEqual([update.isWhole, update.configVersion, update.provedAgoMs], [true, 7, 300]);
});

test('a relay without state sends a message that matches its schema', async () => {
  const update = await startRelay().relay.answer(requestOf());
  assert.ok(isPublishedUpdate(JSON.parse(JSON.stringify(update))));
  assert.equal(update.configVersion, undefined);
  assert.ok(update.provedAgoMs > 1e9);
});

test('clients that follow receive each change once, in its latest state', async () => {
  const fixture = startRelay();
  fixture.publish([A]);
  const first = await fixture.relay.answer(requestOf());
  fixture.publish([A, B]);
  fixture.publish([{ ...A, isLeaving: true }, B]);
  fixture.publish([{ ...A, isLeaving: true }]);
  const follow = requestOf({ life: first.life, sequence: first.sequence });
  const update = await fixture.relay.answer(follow);
  assert.equal(update.isWhole, false);
  assert.deepEqual(update.written.map(endpointFrom), [{ ...A, isLeaving: true }]);
  assert.deepEqual(update.removed, ['b']);
  const next = await fixture.relay.answer({ ...follow, sequence: update.sequence });
  assert.deepEqual([next.written, next.removed], [[], []]);
});

test('the remaining time of a cold endpoint is forwarded', async () => {
  const fixture = startRelay();
  fixture.publish([A]);
  const { life, sequence } = await fixture.relay.answer(requestOf());
  fixture.publish([{ ...A, coldRemainingMs: 2400 }]);
  const update = await fixture.relay.answer(requestOf({ life, sequence }));
  assert.ok(isPublishedUpdate(JSON.parse(JSON.stringify(update))));
  assert.deepEqual(update.written.map(endpointFrom), [{ ...A, coldRemainingMs: 2400 }]);
});

/**
 * Each heartbeat of 24 cold endpoints woke every waiting daemon, and entries pause for 0.6 s after a
 * change.
 */
test('the passing of the time for which an endpoint is cold is no change, its end and a longer time are', async () => {
  const fixture = startRelay();
  fixture.publish([{ ...A, coldRemainingMs: 2400 }]);
  const start = await fixture.relay.answer(requestOf());
  const changesAt = async (coldRemainingMs?: number): Promise<number> => {
    const before = await fixture.relay.answer(requestOf());
    fixture.publish([{ ...A, ...(coldRemainingMs && { coldRemainingMs }) }]);
    return (await fixture.relay.answer(requestOf())).sequence - before.sequence;
  };
  const changes: number[] = [];
  for (const coldMs of [1200, 100, undefined, 2400, 1200, 3000])
    changes.push(await changesAt(coldMs));
  assert.deepEqual(changes, [0, 0, 1, 1, 0, 1]);
  const { life, sequence } = start;
  const update = await fixture.relay.answer(requestOf({ life, sequence }));
  assert.deepEqual(update.written.map(endpointFrom), [{ ...A, coldRemainingMs: 3000 }]);
  fixture.publish([{ ...A, coldRemainingMs: 500 }]);
  const whole = await fixture.relay.answer(requestOf());
  assert.deepEqual(whole.written.map(endpointFrom), [{ ...A, coldRemainingMs: 500 }]);
});

test('another incarnation, a sequence no longer kept or a future one leads to a full list', async () => {
  const fixture = startRelay();
  for (let i = 0; i < 700; i += 1) fixture.publish([{ ...A, slots: i + 1 }]);
  const { sequence } = await fixture.relay.answer(requestOf());
  for (const known of [
    { life: 'l-0', sequence },
    { life: 'l-1', sequence: 1 },
    { life: 'l-1', sequence: sequence + 1 },
  ])
    assert.equal((await fixture.relay.answer(requestOf(known))).isWhole, true);
  assert.equal(
    (await fixture.relay.answer(requestOf({ life: 'l-1', sequence: sequence - 500 }))).isWhole,
    false,
  );
});

test('a request is held until there is a change, a version, or a confirmation where wanted', async () => {
  const fixture = startRelay();
  fixture.publish([A]);
  const { life, sequence } = await fixture.relay.answer(requestOf());
  const hold = (change: Partial<PublishedRequest> = {}): Promise<string> => {
    const held = requestOf({ life, sequence, waitMs: 10_000, configVersion: 1, ...change });
    return fixture.relay.answer(held).then(() => 'answered');
  };
  const stateOf = (answer: Promise<string>): Promise<string> =>
    Promise.race([answer, new Promise<string>((done) => setImmediate(() => done('held')))]);
  const proof = hold();
  const change = hold({ wantsProof: false });
  assert.deepEqual([await stateOf(proof), await stateOf(change)], ['held', 'held']);
  fixture.publish([A]);
  assert.deepEqual([await stateOf(proof), await stateOf(change)], ['answered', 'held']);
  fixture.publish([A, B]);
  assert.equal(await stateOf(change), 'answered');
  assert.equal(await stateOf(hold({ configVersion: 0 })), 'answered', 'another version');
  const over = await fixture.relay.answer(requestOf({ life, sequence: sequence + 1, waitMs: 20 }));
  assert.deepEqual([over.written, over.removed], [[], []], 'the wait is over');
});

test('a client that follows has the same list after any sequence of changes', async () => {
  const lists = fc.array(fc.subarray(['a', 'b', 'c', 'd']), { minLength: 1, maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(lists, fc.array(fc.boolean()), async (steps, polls) => {
      const fixture = startRelay();
      const held = new Map<string, unknown>();
      let known = { life: '', sequence: 0 };
      for (const [i, ids] of steps.entries()) {
        fixture.publish(ids.map((id) => ({ ...endpoint(id, '10.0.0.1:1'), slots: i + 1 })));
        if (!polls[i] && i < steps.length - 1) continue;
        const update = await fixture.relay.answer(requestOf(known));
        if (update.isWhole) held.clear();
        for (const relayed of update.written) held.set(relayed.id, endpointFrom(relayed));
        for (const id of update.removed) held.delete(id);
        known = { life: update.life, sequence: update.sequence };
      }
      assert.deepEqual(new Map([...held].sort()), new Map([...fixture.state.list].sort()));
    }),
  );
});
