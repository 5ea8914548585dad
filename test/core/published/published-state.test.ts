import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import fc from 'fast-check';
import { systemClock } from '../../../src/core/clock/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  findRoute,
  followPublished,
  OUTAGE_GRACE_MS,
  pickService,
  PublishedState,
  type ConfigUpdate,
  type ConfigRead,
  type EndpointChange,
  type PublishedConfig,
  type PublishedSource,
  type PublishedRead,
  type ReadFault,
  type WatchResult,
} from '../../../src/core/published/index.js';
import { Err, Ok, type Result } from '../../../src/core/result/index.js';
import { until } from '../../fixtures/until.js';
import { config, endpoint, route } from '../../gateway/harness.js';

const configVersion = (n: number): PublishedConfig => config([route()], { version: n });
const listedIds = (state: PublishedState): string[] => [...state.list.keys()].sort();

test('versions never decrease, and an older one does not confirm the active one', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 9 }), { minLength: 1 }), (versions) => {
      const state = new PublishedState();
      let highest = -1;
      versions.forEach((n, at) => {
        assert.equal(state.offerConfig(configVersion(n), at), n >= highest);
        highest = Math.max(highest, n);
        assert.equal(state.config?.version, highest);
      });
      const last = versions.lastIndexOf(Math.max(...versions));
      assert.ok(state.confirmedAgoMs(100) <= 100 - last);
    }),
  );
});

test('a confirmation counts from its request, and without a configuration there is none', () => {
  const state = new PublishedState();
  state.confirmConfig(5);
  assert.equal(state.confirmedAgoMs(10), Number.POSITIVE_INFINITY);
  state.offerConfig(configVersion(1), 20);
  assert.equal(state.confirmedAgoMs(50), 30);
  state.confirmConfig(10);
  assert.equal(state.confirmedAgoMs(50), 30);
});

test('a leaving endpoint receives no requests again, but one that was only missing does', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  const b = endpoint('b', 'x:2');
  state.offerList([a, b], false);
  const change = state.offerList([{ ...a, isLeaving: true }], false);
  assert.deepEqual([change.leaving, change.gone], [['a'], ['b']]);
  assert.equal(state.isAvailable(a.id), false);
  state.offerList([a, b], false);
  assert.equal(state.isAvailable(a.id), false);
  assert.equal(state.isAvailable(b.id), true);
});

/**
 * An engine may restart under its previous id. When ids that had left were excluded for good, a
 * drained engine that came back never received a request again, and the slots of its rank stayed
 * unused.
 */
test('an endpoint restarted under its id receives requests, but its earlier process does not', () => {
  const state = new PublishedState();
  const first = { ...endpoint('a', 'x:1'), startedAtMs: 1000 };
  state.offerList([first], false);
  state.offerList([{ ...first, isLeaving: true }], false);
  state.offerList([first], false);
  assert.equal(state.isAvailable(first.id), false, 'a late read concerns the process that left');
  const second = { ...first, startedAtMs: 2000 };
  assert.deepEqual(state.offerList([second], false).joined, [second]);
  assert.equal(state.isAvailable(first.id), true);
  assert.deepEqual([...state.availableEndpoints(first.service)], [second]);
  assert.deepEqual(state.offerList([{ ...second, isLeaving: true }], false).leaving, ['a']);
  assert.equal(state.isAvailable(first.id), false);
});

test('records that expired during a store outage are kept for the grace period only', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  const b = endpoint('b', 'x:2');
  state.offerList([a, b], false);
  assert.deepEqual(state.offerList([a], true).gone, []);
  assert.deepEqual(listedIds(state), ['a', 'b']);
  assert.deepEqual(state.offerList([a], true).gone, []);
  state.applyChanges([], true);
  assert.deepEqual(listedIds(state), ['a', 'b']);
  assert.deepEqual(state.dropMissing().gone, ['b']);
  assert.deepEqual(listedIds(state), ['a']);
  assert.deepEqual(state.dropMissing().gone, []);
});

test('the longest path prefix of the host matches, and services are selected by weight', () => {
  const long = route({ id: 'long' as never, pathPrefix: '/x/y/' });
  const cfg = config([route(), long]);
  assert.equal(findRoute(cfg, 'a.example', '/x/y/z')?.id, 'long');
  assert.equal(findRoute(cfg, 'a.example', '/x/z')?.id, 'r-1');
  assert.equal(findRoute(cfg, 'b.example', '/x/z'), undefined);
  assert.equal(findRoute(cfg, 'a.example', '/?p=/x/'), undefined);
  const split = route({
    shares: [
      { service: 's-1' as never, weight: 9 },
      { service: 's-2' as never, weight: 1 },
    ],
  });
  assert.equal(
    pickService(split, () => 0.89),
    's-1',
  );
  assert.equal(
    pickService(split, () => 0.91),
    's-2',
  );
  assert.equal(
    pickService(split, () => 0.999999),
    's-2',
  );
});

test('changes are applied one by one and leave other endpoints as they were', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  const b = endpoint('b', 'x:2');
  state.offerList([a], false);
  const change = state.applyChanges(
    [
      { kind: 'written', endpoint: b },
      { kind: 'written', endpoint: { ...a, isLeaving: true } },
    ],
    false,
  );
  assert.deepEqual(
    [change.joined.map((e) => e.id), change.leaving, change.gone],
    [['b'], ['a'], []],
  );
  assert.equal(state.isAvailable(a.id), false);
  const removed = state.applyChanges([{ kind: 'removed', id: a.id }], false);
  assert.deepEqual(removed.gone, ['a']);
  assert.deepEqual(listedIds(state), ['b']);
});

test('a record that expired and is rewritten within the grace period was never removed', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  state.offerList([a], false);
  assert.deepEqual(state.applyChanges([{ kind: 'removed', id: a.id }], true).gone, []);
  assert.equal(state.isAvailable(a.id), true);
  assert.deepEqual(state.applyChanges([{ kind: 'written', endpoint: a }], true).gone, []);
  assert.deepEqual(state.dropMissing().gone, []);
  assert.deepEqual(listedIds(state), ['a']);
});

const ENDPOINT_CHANGE: EndpointChange = { kind: 'written', endpoint: endpoint('a', 'x:1') };
const SAME: ConfigUpdate = { kind: 'same' };

/**
 * A source with configurable results; a watch returns the next queued result, or no changes after
 * its wait.
 */
class FakeSource implements PublishedSource {
  readonly name = 'store';
  all: Result<PublishedRead, ReadFault> = Ok({
    config: { kind: 'read', config: configVersion(1) },
    endpoints: [],
    revision: 1,
    invalid: [],
  });
  readonly queued: Result<WatchResult, ReadFault>[] = [];
  reads = 0;
  /** Time after which each longer wait ends with a change, ms. */
  changesAfterMs = Number.POSITIVE_INFINITY;
  /** Revision and wait of each watch. */
  readonly watches: (readonly [number, number])[] = [];
  readConfig = (): Promise<Result<ConfigRead, ReadFault>> => {
    const { config, invalid } = this.all.unwrap();
    return Promise.resolve(Ok({ config, invalid }));
  };
  readonly readAll = (): Promise<Result<PublishedRead, ReadFault>> => {
    this.reads += 1;
    return Promise.resolve(this.all);
  };
  async watch(revision: number, waitMs: number): Promise<Result<WatchResult, ReadFault>> {
    this.watches.push([revision, waitMs]);
    const queued = this.queued.shift();
    if (queued) return queued;
    const isChanged = waitMs > this.changesAfterMs;
    await wait(isChanged ? this.changesAfterMs : waitMs + 2);
    const endpoints = isChanged ? [ENDPOINT_CHANGE] : [];
    return Ok({ kind: 'changes', config: SAME, endpoints, revision, invalid: [] });
  }
}

function changes(config: ConfigUpdate, revision: number): Result<WatchResult, ReadFault> {
  return Ok({ kind: 'changes', config, endpoints: [], revision, invalid: [] });
}

/**
 * Time within which an update must be active, ms. Waits take 22 ms, but timers on a busy machine
 * are some tenths of a second late.
 */
const UPDATE_TIMEOUT_MS = 5000;
const TIMEOUT: Result<WatchResult, ReadFault> = Err({ kind: 'timeout', detail: 'no response' });

interface FollowerTest {
  readonly source: FakeSource;
  readonly state: PublishedState;
  readonly events: string[];
}

async function withFollower(run: (f: FollowerTest) => Promise<void>, waitMs = 20): Promise<void> {
  const source = new FakeSource();
  const state = new PublishedState();
  const events: string[] = [];
  const record = (event: string): void => void events.push(event);
  const controller = new AbortController();
  const parts = {
    source,
    state,
    clock: systemClock,
    random: () => 0.5,
    log: { ...silentLog, info: record, warn: record },
    metrics: new Metrics(),
    pace: { waitMs, minWaitMs: waitMs / 10, changePauseMs: 1, failedPauseMs: 5 },
  };
  const done = followPublished(parts, controller.signal);
  try {
    await run({ source, state, events });
  } finally {
    controller.abort();
    await done;
  }
}

test('changes are applied from the watch itself, without another read', async () => {
  await withFollower(async ({ source, state }) => {
    await until(
      'the first version is active',
      () => state.config?.version === 1,
      UPDATE_TIMEOUT_MS,
    );
    source.queued.push(changes({ kind: 'read', config: configVersion(2) }, 7));
    await until(
      'the second version is active',
      () => state.config?.version === 2,
      UPDATE_TIMEOUT_MS,
    );
    await until(
      'it continues from the newest revision',
      () => source.watches.at(-1)?.[0] === 7,
      UPDATE_TIMEOUT_MS,
    );
    assert.equal(source.reads, 1);
  });
});

test('the last good state survives failures, loss and recovery are logged, and the first call after is immediate', async () => {
  await withFollower(async ({ source, state, events }) => {
    await wait(30);
    source.queued.push(...Array.from({ length: 6 }, () => TIMEOUT));
    await wait(60);
    assert.equal(state.config?.version, 1);
    assert.ok(state.confirmedAgoMs(systemClock.nowMs()) > 30, 'a failed call confirms nothing');
    await wait(120);
    assert.ok(state.confirmedAgoMs(systemClock.nowMs()) < 60);
    assert.deepEqual(
      events.filter((event) => event.startsWith('published.')),
      ['published.lost', 'published.regained'],
    );
    assert.equal(source.reads, 1, 'the history contained what was missed');
    assert.ok(source.watches.some(([, waitMs]) => waitMs === 0));
  });
});

test('an unavailable history causes a full read, and an older version is not applied', async () => {
  await withFollower(async ({ source, state, events }) => {
    await until('the first version was read', () => source.watches.length > 0, UPDATE_TIMEOUT_MS);
    source.queued.push(
      changes({ kind: 'read', config: configVersion(4) }, 7),
      Ok({ kind: 'forgotten' }),
    );
    await until(
      'the older version is read and not applied',
      () => events.includes('config.older'),
      UPDATE_TIMEOUT_MS,
    );
    assert.equal(source.reads, 2);
    assert.equal(state.config?.version, 4);
  });
});

test('an unreadable newer configuration ends confirmation until one can be read', async () => {
  await withFollower(async ({ source, state }) => {
    await wait(30);
    source.queued.push(changes({ kind: 'unreadable' }, 7));
    await wait(100);
    assert.equal(state.config?.version, 1);
    assert.ok(state.confirmedAgoMs(systemClock.nowMs()) > 60);
    source.queued.push(changes({ kind: 'read', config: configVersion(3) }, 8));
    await wait(60);
    assert.ok(state.confirmedAgoMs(systemClock.nowMs()) < 60);
  });
});

test('a wait without a change confirms at its end, so the age stays below two waits', async () => {
  const waitMs = 200;
  await withFollower(async ({ state }) => {
    await wait(2 * waitMs);
    let oldest = 0;
    const untilMs = systemClock.nowMs() + 3 * waitMs;
    while (systemClock.nowMs() < untilMs) {
      oldest = Math.max(oldest, state.confirmedAgoMs(systemClock.nowMs()));
      await wait(5);
    }
    assert.ok(oldest < 1.7 * waitMs, `${oldest}`);
  }, waitMs);
});

test('changes midway through a wait do not delay the next confirmation', async () => {
  const waitMs = 600;
  await withFollower(async ({ source, state }) => {
    source.changesAfterMs = 500;
    await wait(2 * waitMs);
    let oldest = 0;
    const untilMs = systemClock.nowMs() + 4 * waitMs;
    while (systemClock.nowMs() < untilMs) {
      oldest = Math.max(oldest, state.confirmedAgoMs(systemClock.nowMs()));
      await wait(5);
    }
    assert.ok(oldest < 1.5 * waitMs, `${oldest}`);
  }, waitMs);
});

test('endpoints missing after an outage are removed in time, however long the next wait is', async () => {
  const changeResult = (change: EndpointChange): Result<WatchResult, ReadFault> =>
    Ok({ kind: 'changes', config: SAME, endpoints: [change], revision: 7, invalid: [] });
  const { id } = endpoint('a', 'x:1');
  await withFollower(async ({ source, state }) => {
    // Pauses between failures grow: twelve take 1.3 s.
    source.queued.push(changeResult(ENDPOINT_CHANGE), ...Array.from({ length: 12 }, () => TIMEOUT));
    source.queued.push(changeResult({ kind: 'removed', id }));
    while (source.queued.length > 0) await wait(5);
    const backAtMs = systemClock.nowMs();
    await wait(20);
    assert.equal(state.isAvailable(id), true, 'its record may be rewritten');
    while (state.isAvailable(id) && systemClock.nowMs() - backAtMs < 3000) await wait(5);
    const keptMs = systemClock.nowMs() - backAtMs;
    assert.ok(keptMs < OUTAGE_GRACE_MS, `${keptMs} ms`);
  }, 4000);
});

test('a pending first configuration is read at once, without the pause after a change', async () => {
  const source = new FakeSource();
  const { config, ...read } = source.all.unwrap();
  source.all = Ok({ ...read, config: { kind: 'pending' } });
  source.readConfig = () => Promise.resolve(Ok({ config, invalid: [] }));
  const state = new PublishedState();
  const controller = new AbortController();
  const done = followPublished(
    {
      source,
      state,
      clock: systemClock,
      random: () => 0.5,
      log: silentLog,
      metrics: new Metrics(),
      pace: { waitMs: 20, minWaitMs: 2, changePauseMs: 2000, failedPauseMs: 5 },
      needsFullRead: () => state.config === undefined,
    },
    controller.signal,
  );
  const startedAtMs = systemClock.nowMs();
  await until('the configuration is active', () => state.config !== undefined);
  assert.ok(systemClock.nowMs() - startedAtMs < 1500);
  controller.abort();
  await done;
});
