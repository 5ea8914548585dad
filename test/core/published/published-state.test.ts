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
  type ConfigNews,
  type ConfigRead,
  type EndpointChange,
  type PublishedConfig,
  type PublishedSource,
  type PublishedRead,
  type ReadFault,
  type Watched,
} from '../../../src/core/published/index.js';
import { Err, Ok, type Result } from '../../../src/core/result/index.js';
import { until } from '../../fixtures/until.js';
import { config, endpoint, route } from '../../gateway/harness.js';

const version = (n: number): PublishedConfig => config([route()], { version: n });
const ids = (state: PublishedState): string[] => [...state.list.keys()].sort();

test('versions never go back, and an older one proves nothing', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 9 }), { minLength: 1 }), (versions) => {
      const state = new PublishedState();
      let highest = -1;
      versions.forEach((n, at) => {
        assert.equal(state.offerConfig(version(n), at), n >= highest);
        highest = Math.max(highest, n);
        assert.equal(state.config?.version, highest);
      });
      const last = versions.lastIndexOf(Math.max(...versions));
      assert.ok(state.proofAgeMs(100) <= 100 - last);
    }),
  );
});

test('a proof counts from when it was asked for, and none is none', () => {
  const state = new PublishedState();
  state.proveConfig(5);
  assert.equal(state.proofAgeMs(10), Number.POSITIVE_INFINITY);
  state.offerConfig(version(1), 20);
  assert.equal(state.proofAgeMs(50), 30);
  state.proveConfig(10);
  assert.equal(state.proofAgeMs(50), 30);
});

test('an endpoint that leaves takes no work again, one that was only missing does', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  const b = endpoint('b', 'x:2');
  state.offerList([a, b], false);
  const change = state.offerList([{ ...a, isLeaving: true }], false);
  assert.deepEqual([change.leaving, change.gone], [['a'], ['b']]);
  assert.equal(state.takesWork(a.id), false);
  state.offerList([a, b], false);
  assert.equal(state.takesWork(a.id), false);
  assert.equal(state.takesWork(b.id), true);
});

/**
 * Story: engines may start again under the id that they had. What had left under an id was left out
 * for good, so that an engine that was drained and came back never got a request again, and its rank's slots stood empty.
 * Evidence: this test failed on the code before, `takesWork` stayed false whatever was published afterwards.
 */
test('an endpoint that left and starts again under its id takes work, its earlier process does not', () => {
  const state = new PublishedState();
  const first = { ...endpoint('a', 'x:1'), startedAtMs: 1000 };
  state.offerList([first], false);
  state.offerList([{ ...first, isLeaving: true }], false);
  state.offerList([first], false);
  assert.equal(
    state.takesWork(first.id),
    false,
    'what is read late tells of the process that left',
  );
  const second = { ...first, startedAtMs: 2000 };
  assert.deepEqual(state.offerList([second], false).joined, [second]);
  assert.equal(state.takesWork(first.id), true);
  assert.deepEqual([...state.workingOf(first.service)], [second]);
  assert.deepEqual(state.offerList([{ ...second, isLeaving: true }], false).leaving, ['a']);
  assert.equal(state.takesWork(first.id), false);
});

test('entries that lapsed while the store was away have their grace, and no more', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  const b = endpoint('b', 'x:2');
  state.offerList([a, b], false);
  assert.deepEqual(state.offerList([a], true).gone, []);
  assert.deepEqual(ids(state), ['a', 'b']);
  assert.deepEqual(state.offerList([a], true).gone, []);
  state.applyChanges([], true);
  assert.deepEqual(ids(state), ['a', 'b']);
  assert.deepEqual(state.dropMissing().gone, ['b']);
  assert.deepEqual(ids(state), ['a']);
  assert.deepEqual(state.dropMissing().gone, []);
});

test('the longest prefix of the host wins, and shares follow their weights', () => {
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

test('changes are taken one by one, and what is not named stays as it was', () => {
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
  assert.equal(state.takesWork(a.id), false);
  const removed = state.applyChanges([{ kind: 'removed', id: a.id }], false);
  assert.deepEqual(removed.gone, ['a']);
  assert.deepEqual(ids(state), ['b']);
});

test('an entry that lapsed and is written again within its grace was never gone', () => {
  const state = new PublishedState();
  const a = endpoint('a', 'x:1');
  state.offerList([a], false);
  assert.deepEqual(state.applyChanges([{ kind: 'removed', id: a.id }], true).gone, []);
  assert.equal(state.takesWork(a.id), true);
  assert.deepEqual(state.applyChanges([{ kind: 'written', endpoint: a }], true).gone, []);
  assert.deepEqual(state.dropMissing().gone, []);
  assert.deepEqual(ids(state), ['a']);
});

const ENDPOINT_CHANGE: EndpointChange = { kind: 'written', endpoint: endpoint('a', 'x:1') };
const SAME: ConfigNews = { kind: 'same' };

/** A source whose answers a test sets; a watch answers what is queued, or nothing after its wait. */
class SourceFake implements PublishedSource {
  readonly name = 'store';
  all: Result<PublishedRead, ReadFault> = Ok({
    config: { kind: 'read', config: version(1) },
    endpoints: [],
    revision: 1,
    invalid: [],
  });
  readonly queued: Result<Watched, ReadFault>[] = [];
  reads = 0;
  /** Time after which each wait that is longer ends with a change, ms. */
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
  async watch(revision: number, waitMs: number): Promise<Result<Watched, ReadFault>> {
    this.watches.push([revision, waitMs]);
    const queued = this.queued.shift();
    if (queued) return queued;
    const isChanged = waitMs > this.changesAfterMs;
    await wait(isChanged ? this.changesAfterMs : waitMs + 2);
    const endpoints = isChanged ? [ENDPOINT_CHANGE] : [];
    return Ok({ kind: 'changes', config: SAME, endpoints, revision, invalid: [] });
  }
}

function changes(config: ConfigNews, revision: number): Result<Watched, ReadFault> {
  return Ok({ kind: 'changes', config, endpoints: [], revision, invalid: [] });
}

/** Time within which news must be in force, ms: waits take 22 ms, timers of a busy machine are tenths of a second late. */
const NEWS_MS = 5000;
const LOST: Result<Watched, ReadFault> = Err({ kind: 'timeout', detail: 'silent' });

interface Following {
  readonly source: SourceFake;
  readonly state: PublishedState;
  readonly events: string[];
}

async function following(run: (f: Following) => Promise<void>, waitMs = 20): Promise<void> {
  const source = new SourceFake();
  const state = new PublishedState();
  const events: string[] = [];
  const note = (event: string): void => void events.push(event);
  const ending = new AbortController();
  const parts = {
    source,
    state,
    clock: systemClock,
    random: () => 0.5,
    log: { ...silentLog, info: note, warn: note },
    metrics: new Metrics(),
    pace: { waitMs, minWaitMs: waitMs / 10, changePauseMs: 1, failedPauseMs: 5 },
  };
  const done = followPublished(parts, ending.signal);
  try {
    await run({ source, state, events });
  } finally {
    ending.abort();
    await done;
  }
}

test('following takes changes from the watch itself, without another read', async () => {
  await following(async ({ source, state }) => {
    await until('the first version is in force', () => state.config?.version === 1, NEWS_MS);
    source.queued.push(changes({ kind: 'read', config: version(2) }, 7));
    await until('the next one is', () => state.config?.version === 2, NEWS_MS);
    await until(
      'it goes on from the newest revision',
      () => source.watches.at(-1)?.[0] === 7,
      NEWS_MS,
    );
    assert.equal(source.reads, 1);
  });
});

test('the last good state is kept through faults, both ends are logged, and it asks at once when back', async () => {
  await following(async ({ source, state, events }) => {
    await wait(30);
    source.queued.push(...Array.from({ length: 6 }, () => LOST));
    await wait(60);
    assert.equal(state.config?.version, 1);
    assert.ok(state.proofAgeMs(systemClock.nowMs()) > 30, 'a failed call proves nothing');
    await wait(120);
    assert.ok(state.proofAgeMs(systemClock.nowMs()) < 60);
    assert.deepEqual(
      events.filter((event) => event.startsWith('published.')),
      ['published.lost', 'published.regained'],
    );
    assert.equal(source.reads, 1, 'the history told what was missed');
    assert.ok(source.watches.some(([, waitMs]) => waitMs === 0));
  });
});

test('a history that is gone is read again, and an older version is not taken', async () => {
  await following(async ({ source, state, events }) => {
    await until('the first version was read', () => source.watches.length > 0, NEWS_MS);
    source.queued.push(changes({ kind: 'read', config: version(4) }, 7), Ok({ kind: 'forgotten' }));
    await until(
      'the older version is read and left',
      () => events.includes('config.older'),
      NEWS_MS,
    );
    assert.equal(source.reads, 2);
    assert.equal(state.config?.version, 4);
  });
});

test('a newer configuration that cannot be read is no proof, until one can', async () => {
  await following(async ({ source, state }) => {
    await wait(30);
    source.queued.push(changes({ kind: 'unreadable' }, 7));
    await wait(100);
    assert.equal(state.config?.version, 1);
    assert.ok(state.proofAgeMs(systemClock.nowMs()) > 60);
    source.queued.push(changes({ kind: 'read', config: version(3) }, 8));
    await wait(60);
    assert.ok(state.proofAgeMs(systemClock.nowMs()) < 60);
  });
});

test('a wait without a change proves at its end: its age stays below two waits', async () => {
  const waitMs = 200;
  await following(async ({ state }) => {
    await wait(2 * waitMs);
    let oldest = 0;
    const untilMs = systemClock.nowMs() + 3 * waitMs;
    while (systemClock.nowMs() < untilMs) {
      oldest = Math.max(oldest, state.proofAgeMs(systemClock.nowMs()));
      await wait(5);
    }
    assert.ok(oldest < 1.7 * waitMs, `${oldest}`);
  }, waitMs);
});

test('changes that come midway through a wait do not let the proof grow old', async () => {
  const waitMs = 600;
  await following(async ({ source, state }) => {
    source.changesAfterMs = 500;
    await wait(2 * waitMs);
    let oldest = 0;
    const untilMs = systemClock.nowMs() + 4 * waitMs;
    while (systemClock.nowMs() < untilMs) {
      oldest = Math.max(oldest, state.proofAgeMs(systemClock.nowMs()));
      await wait(5);
    }
    assert.ok(oldest < 1.5 * waitMs, `${oldest}`);
  }, waitMs);
});

test('what is missing after the store was away is gone in time, however long the next wait is', async () => {
  const told = (change: EndpointChange): Result<Watched, ReadFault> =>
    Ok({ kind: 'changes', config: SAME, endpoints: [change], revision: 7, invalid: [] });
  const { id } = endpoint('a', 'x:1');
  await following(async ({ source, state }) => {
    // Pauses between failures grow: twelve take 1.3 s.
    source.queued.push(told(ENDPOINT_CHANGE), ...Array.from({ length: 12 }, () => LOST));
    source.queued.push(told({ kind: 'removed', id }));
    while (source.queued.length > 0) await wait(5);
    const backAtMs = systemClock.nowMs();
    await wait(20);
    assert.equal(state.takesWork(id), true, 'it may be written again');
    while (state.takesWork(id) && systemClock.nowMs() - backAtMs < 3000) await wait(5);
    const keptMs = systemClock.nowMs() - backAtMs;
    assert.ok(keptMs < OUTAGE_GRACE_MS, `${keptMs} ms`);
  }, 4000);
});

test('who lacks a configuration that is pending reads it at once, without the pause after a change', async () => {
  const source = new SourceFake();
  const { config, ...read } = source.all.unwrap();
  source.all = Ok({ ...read, config: { kind: 'pending' } });
  source.readConfig = () => Promise.resolve(Ok({ config, invalid: [] }));
  const state = new PublishedState();
  const ending = new AbortController();
  const done = followPublished(
    {
      source,
      state,
      clock: systemClock,
      random: () => 0.5,
      log: silentLog,
      metrics: new Metrics(),
      pace: { waitMs: 20, minWaitMs: 2, changePauseMs: 2000, failedPauseMs: 5 },
      isLacking: () => state.config === undefined,
    },
    ending.signal,
  );
  const startedAtMs = systemClock.nowMs();
  await until('the configuration is in force', () => state.config !== undefined);
  assert.ok(systemClock.nowMs() - startedAtMs < 1500);
  ending.abort();
  await done;
});
