/**
 * Evacuation of a data centre. Without it, entries kept sending to the endpoints there: 272 requests
 * after the time that the operators allow, in one evacuation of a deployment of 33 entries. The
 * record is only in the store; entries that read from relays, that lost their source or that just
 * started must know of it, and a restored store may lack or still have it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';
import {
  PublishedState,
  RelayClient,
  type DataCentreId,
  type PublishedStore,
} from '../../../src/core/published/index.js';
import type { PublishedUpdate } from '../../../src/generated/messages.types.js';
import { until } from '../../fixtures/until.js';
import { endpoint } from '../../gateway/harness.js';
import {
  configOf,
  restoreAcross,
  UPDATE_TIMEOUT_MS,
  withFollowedStore,
  type FollowedStore,
} from './followed-store.js';
import {
  A,
  FakeStore,
  readAll,
  startFleet,
  wait,
  withFleet,
  type Daemon,
  type Fleet,
} from './relay-fleet.js';

/** Time within which all daemons must know of an evacuation, ms; the operators allow 5 s. */
const KNOWN_WITHIN_MS = 2500;
/** Time after which a lost record that is not rewritten ends an evacuation, with a margin, ms. */
const LAPSED_WITHIN_MS = 9000;
const ZONE = asId<DataCentreId>('a');
const KEY = 'op/evacuate/a';
const E = asId<EndpointId>('a');

/** Publishes the evacuated data centres in every store. */
function publish(fleet: Fleet, evacuated: DataCentreId[]): void {
  for (const store of [fleet.store, ...fleet.ownStores.values()]) {
    store.evacuated = evacuated;
    store.notifyChange();
  }
}

/** Returns the names of the daemons that would send requests to the endpoint. */
function sendersIn(fleet: Fleet): string[] {
  return [...fleet.daemons].flatMap(([name, { state }]) => (state.isAvailable(A.id) ? [name] : []));
}

test('all daemons stop sending to an evacuated data centre, and resume when it is taken back', () =>
  withFleet(3, 3, async (fleet) => {
    publish(fleet, [ZONE]);
    await wait(KNOWN_WITHIN_MS);
    assert.deepEqual(sendersIn(fleet), []);
    publish(fleet, []);
    await until('all send again', () => sendersIn(fleet).length === 6);
  }));

test('daemons of a relay that falls silent as the evacuation begins stop sending as well', () =>
  withFleet(2, 3, async (fleet) => {
    fleet.unreachable.add('r0');
    publish(fleet, [ZONE]);
    await wait(KNOWN_WITHIN_MS);
    assert.deepEqual(sendersIn(fleet), []);
  }));

test('a daemon without access to the store learns of an evacuation from relays', () =>
  withFleet(
    1,
    1,
    async (fleet) => {
      const own = fleet.ownStores.get('e0');
      assert.ok(own);
      own.isRejecting = true;
      publish(fleet, [ZONE]);
      await wait(KNOWN_WITHIN_MS);
      assert.deepEqual(sendersIn(fleet), []);
    },
    ['e0'],
  ));

test('a daemon that starts during an evacuation never sends there', async () => {
  const fleet = startFleet();
  fleet.store.evacuated = [ZONE];
  await readAll(fleet.start('r0', ['r0']), fleet);
  const daemon = fleet.start('late', ['r0']);
  assert.deepEqual([...daemon.state.availableEndpoints(A.service)], []);
  await readAll(daemon, fleet);
  assert.deepEqual([daemon.state.list.size, daemon.state.isAvailable(A.id)], [1, false]);
});

test('an evacuation reaches a waiting daemon at once', async () => {
  const fleet = startFleet();
  const relay = fleet.start('r0', ['r0']);
  await readAll(relay, fleet);
  const daemon = fleet.start('entry', ['r0']);
  await readAll(daemon, fleet);
  const { life, sequence } = await relay.relay.answer({
    life: '',
    sequence: 0,
    waitMs: 0,
    wantsProof: false,
  });
  const held = relay.relay.answer({ life, sequence, waitMs: 60_000, wantsProof: false });
  relay.state.offerEvacuations({ kind: 'whole', dataCentres: [ZONE] });
  relay.relay.recordChanges();
  const update = await Promise.race([held, wait(1000)]);
  assert.ok(update, 'the request is not held while there is an update');
  assert.deepEqual([update.evacuated, update.isWhole, update.written], [[ZONE], false, []]);
  const unchanged = await relay.relay.answer({ ...update, waitMs: 0, wantsProof: false });
  assert.deepEqual(unchanged.evacuated, [ZONE], 'each update contains the whole set');
});

test('a relay of a release that does not follow evacuations ends none', async () => {
  const state = new PublishedState();
  const update: Omit<PublishedUpdate, 'isWhole'> = {
    life: 'l',
    sequence: 0,
    written: [],
    removed: [],
    configVersion: 1,
    era: 0,
    provedAgoMs: 0,
    heardAgoMs: 0,
    waitedMs: 0,
    isDirect: true,
  };
  const client = new RelayClient('r0', {
    store: new FakeStore() as PublishedStore,
    isRelay: false,
    ask: (_, { life }) => Promise.resolve({ ...update, isWhole: life === '' }),
    state,
    pace: { waitMs: 0, wantsProof: true },
    wantsConfig: () => true,
  });
  assert.equal((await client.readAll()).unwrap().evacuated, undefined);
  state.offerEvacuations({ kind: 'whole', dataCentres: [ZONE] });
  const watched = (await client.watch(0, 0)).unwrap();
  assert.ok(watched.kind === 'changes');
  state.offerEvacuations(watched.evacuations);
  assert.deepEqual([...state.evacuated], [ZONE]);
});

test('an endpoint that left during an evacuation receives nothing after it', () => {
  const state = new PublishedState();
  const [left, stays] = [endpoint('a', 'x:1'), endpoint('b', 'x:2')];
  state.offerList([left, stays], false);
  state.offerEvacuations({ kind: 'changes', changes: [{ kind: 'begun', dataCentre: ZONE }] });
  assert.equal(state.isEvacuated(left.service), true);
  state.offerList([{ ...left, isLeaving: true }, stays], false);
  state.offerEvacuations({ kind: 'changes', changes: [{ kind: 'ended', dataCentre: ZONE }] });
  assert.deepEqual([...state.availableEndpoints(left.service)], [stays]);
  assert.equal(state.isEvacuated(left.service), false);
});

/** Makes the store reject all calls; the watch that it still holds has ended on return. */
async function cutOff(store: FollowedStore['store']): Promise<void> {
  store.mode = 'reset';
  await wait(1500);
}

/** Begins the evacuation and waits until the daemon knows. */
async function begin({ store, state }: FollowedStore): Promise<void> {
  store.put(KEY, {});
  await until('the evacuation is known', () => !state.isAvailable(E), UPDATE_TIMEOUT_MS);
}

test('an evacuation that begins and ends while the store is away is known when it is back', () =>
  withFollowedStore(async (followed) => {
    const { store, state } = followed;
    await cutOff(store);
    store.put(KEY, {});
    await wait(500);
    assert.equal(state.isAvailable(E), true);
    store.mode = 'well';
    await until('the evacuation is known', () => !state.isAvailable(E), UPDATE_TIMEOUT_MS);
    await cutOff(store);
    assert.equal(state.isAvailable(E), false, 'the last set holds without word from the store');
    store.remove(KEY);
    store.mode = 'well';
    await until('the evacuation ends', () => state.isAvailable(E), UPDATE_TIMEOUT_MS);
  }));

test('an evacuation that began or ended in forgotten history is known from the full read', () =>
  withFollowedStore(async ({ store, state }) => {
    await cutOff(store);
    store.put(KEY, {});
    store.compact();
    store.mode = 'well';
    await until('the evacuation is known', () => !state.isAvailable(E), UPDATE_TIMEOUT_MS);
    await cutOff(store);
    store.remove(KEY);
    store.compact();
    store.mode = 'well';
    await until('the evacuation ends', () => state.isAvailable(E), UPDATE_TIMEOUT_MS);
  }));

test('an evacuation that a restored store lacks stays in force until it is written again', () =>
  withFollowedStore(async (followed) => {
    const { store, state, events } = followed;
    await restoreAcross(
      store,
      () => store.put(KEY, {}),
      () => !state.isAvailable(E),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy is read', () => state.config?.version === 2, UPDATE_TIMEOUT_MS);
    await wait(1500);
    assert.equal(state.isAvailable(E), false);
    store.put(KEY, {});
    await wait(5000);
    assert.equal(state.isAvailable(E), false);
    assert.ok(!events.includes('evacuation.ended'));
  }));

test('an evacuation that a restored store lacks ends if it is not written again', () =>
  withFollowedStore(async ({ store, state, events }) => {
    await restoreAcross(
      store,
      () => store.put(KEY, {}),
      () => !state.isAvailable(E),
      () => store.put('op/config', configOf(2)),
    );
    await until('the evacuation ends', () => state.isAvailable(E), LAPSED_WITHIN_MS);
    assert.deepEqual(
      events.filter((event) => event.startsWith('evacuation.')),
      ['evacuation.began', 'evacuation.ended'],
    );
  }));

test('an evacuation that returns with a restored store is in force until it is removed again', () =>
  withFollowedStore(async (followed) => {
    const { store, state } = followed;
    await begin(followed);
    await restoreAcross(
      store,
      () => store.remove(KEY),
      () => state.isAvailable(E),
      () => store.put('op/config', configOf(2)),
    );
    await until('the copy is read', () => state.config?.version === 2, UPDATE_TIMEOUT_MS);
    assert.equal(state.isAvailable(E), false);
    store.remove(KEY);
    await until('the evacuation ends', () => state.isAvailable(E), UPDATE_TIMEOUT_MS);
  }));

test('a relay that starts on a restored store keeps what other relays know to be evacuated', async () => {
  const fleet = startFleet();
  const relays = ['r1', 'r2'];
  fleet.store.evacuated = [ZONE];
  await readAll(fleet.start('r1', relays), fleet);
  fleet.store.evacuated = [];
  fleet.store.era += 1;
  await readAll(fleet.daemons.get('r1') as Daemon, fleet);
  const daemon = fleet.start('r2', relays);
  await readAll(daemon, fleet);
  assert.deepEqual([...daemon.state.evacuated], [ZONE]);
  assert.deepEqual(daemon.state.markListCurrent().ended, [ZONE]);
});
