import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connectStore, type WatchScope } from '../../platform/store-client.js';
import { startStore, type FakeStore, type StoreMode } from '../../fakes/store/index.js';
import {
  findRoute,
  type PublishedConfig,
  type PublishedRead,
  type PublishedSource,
  type ReadFault,
  type WatchResult,
} from '../../src/core/published/index.js';

const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: 'A.example',
      'path-prefix': '/x/',
      kind: 'idempotent',
      'timeout-ms': 800,
      'target-latency-ms': 300,
      priority: 2,
      service: 's-1',
      'max-attempts': 2,
    },
    {
      name: 'r-2',
      host: 'a.example',
      'path-prefix': '/x/y/',
      kind: 'stream',
      'timeout-ms': 8000,
      'traffic-split': [
        { service: 's-1', weight: 90 },
        { service: 's-2', weight: 10 },
      ],
      'stream-resume': true,
      'gap-aim-ms': 120,
      public: true,
    },
  ],
  services: [
    { name: 's-1', 'max-connections': 100 },
    { name: 's-2', 'max-connections': 348, engine: { slots: 8, sets: 4, places: 8, spare: 3 } },
  ],
  limits: { 'max-body-bytes': 1000 },
  tenants: [
    { name: 'org-1', 'api-keys': ['k-1', 'k-2'], priority: 1 },
    { name: 'org-2', 'api-keys': ['k-3'] },
  ],
};

const ENDPOINT = { service: 's-1', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready' };

async function withStore(
  run: (store: FakeStore, source: PublishedSource) => Promise<void>,
  scope: WatchScope = 'all',
): Promise<void> {
  const store = await startStore();
  store.put('op/config', CONFIG);
  try {
    await run(store, connectStore(store.url, scope));
  } finally {
    store.close();
  }
}

async function readAll(source: PublishedSource): Promise<PublishedRead> {
  return (await source.readAll()).unwrap();
}

async function readConfig(source: PublishedSource): Promise<PublishedConfig> {
  const { config } = await readAll(source);
  assert.ok(config.kind === 'read');
  return config.config;
}

async function watch(
  source: PublishedSource,
  revision: number,
  waitMs: number,
): Promise<Extract<WatchResult, { kind: 'changes' }>> {
  const watched = (await source.watch(revision, waitMs)).unwrap();
  assert.ok(watched.kind === 'changes');
  return watched;
}

test('the fields of a configuration are decoded', async () => {
  await withStore(async (_, source) => {
    const value = await readConfig(source);
    assert.equal(value.version, 7);
    const stream = findRoute(value, 'a.example', '/x/y/1?q=/x/');
    assert.deepEqual([stream?.id, stream?.kind, stream?.resumable], ['r-2', 'stream', true]);
    assert.deepEqual([stream?.isPublic, stream?.gapMs, stream?.maxAttempts], [true, 120, 1]);
    assert.equal(findRoute(value, 'a.example', '/x/1')?.kind, 'repeatable');
    assert.equal(findRoute(value, 'a.example', '/y/'), undefined);
    assert.equal(value.organisationsByKey?.get('k-2')?.id, 'org-1');
    assert.equal(value.organisationsByKey?.get('k-2')?.priority, 1);
    assert.equal(value.organisationsByKey?.get('k-3')?.priority, undefined);
    assert.equal(value.limits.bodyBytes, 1000);
    const engines = [...value.services.values()].map((service) => service.engine?.slotsPerRank);
    assert.deepEqual(engines, [undefined, 8]);
  });
});

test('endpoints are read from all pages of the list', async () => {
  await withStore(async (store, source) => {
    store.pageSize = 2;
    for (let i = 0; i < 5; i += 1) store.put(`servers/i-${i}`, ENDPOINT);
    store.put('servers/i-5', { ...ENDPOINT, state: 'draining' });
    const value = (await readAll(source)).endpoints;
    assert.deepEqual(
      value.map((e) => e.id),
      ['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5'],
    );
    assert.deepEqual(
      value.map((e) => e.isLeaving),
      [false, false, false, false, false, true],
    );
  });
});

test('a watch with the scope endpoints reports endpoints and no new configuration', async () => {
  const run = async (store: FakeStore, source: PublishedSource): Promise<void> => {
    const read = await readAll(source);
    assert.equal(read.config.kind, 'read');
    const waiting = watch(source, read.revision, 5000);
    store.put('op/config', { ...CONFIG, version: 9 });
    setTimeout(() => store.put('servers/i-1', ENDPOINT), 30);
    const watched = await waiting;
    assert.equal(watched.config.kind, 'same');
    assert.deepEqual(
      watched.endpoints.map((change) => change.kind),
      ['written'],
    );
  };
  await withStore(run, 'endpoints');
});

test('a watch ends with a change, at its timeout, or if its revision was compacted', async () => {
  await withStore(async (store, source) => {
    const { revision } = await readAll(source);
    assert.equal((await watch(source, revision, 30)).config.kind, 'same');
    const waiting = watch(source, revision, 5000);
    setTimeout(() => store.put('op/config', { ...CONFIG, version: 9 }), 20);
    const changed = await waiting;
    assert.ok(changed.config.kind === 'read');
    assert.equal(changed.config.config.version, 9);
    assert.ok(changed.revision > revision);
    store.compact();
    assert.equal((await source.watch(revision, 5000)).unwrap().kind, 'forgotten');
  });
});

test('a watch reports endpoints that are added, drained and removed, in order', async () => {
  await withStore(async (store, source) => {
    const { revision } = await readAll(source);
    store.put('servers/i-1', ENDPOINT);
    store.put('servers/i-1', { ...ENDPOINT, state: 'draining' });
    store.remove('servers/i-1');
    store.put('op/other', {});
    const { config, endpoints } = await watch(source, revision, 5000);
    assert.equal(config.kind, 'same');
    assert.deepEqual(
      endpoints.map((c) => (c.kind === 'written' ? c.endpoint.isLeaving : c.id)),
      [false, true, 'i-1'],
    );
  });
});

test('a watch reports the changes since the initial reads, with the newest configuration only', async () => {
  await withStore(async (store, source) => {
    const { revision } = await readAll(source);
    store.put('servers/i-1', ENDPOINT);
    store.put('op/config', { ...CONFIG, version: 8 });
    store.put('op/config', { ...CONFIG, version: 9 });
    const { config, endpoints } = await watch(source, revision, 5000);
    assert.ok(config.kind === 'read');
    assert.equal(config.config.version, 9, 'only the newest one counts');
    assert.equal(endpoints.length, 1);
    const startedAt = performance.now();
    const now = (await readAll(source)).revision;
    assert.equal((await watch(source, now, 60)).endpoints.length, 0);
    assert.ok(performance.now() - startedAt >= 55, 'waits, as nothing has changed');
  });
});

test('evacuated data centres are read with the configuration, without another call', async () => {
  await withStore(async (store, source) => {
    store.put('op/evacuate/a', {});
    store.put('op/evacuate/b', {});
    const read = await readAll(source);
    assert.deepEqual(read.evacuated, ['a', 'b']);
    assert.equal(read.config.kind, 'read');
    assert.deepEqual([...store.calls.values()], [2]);
  });
});

test('a watch reports the evacuations that begin and end, in order, but not with the scope endpoints', async () => {
  const change = async (store: FakeStore, source: PublishedSource) => {
    const { revision, evacuated } = await readAll(source);
    store.put('op/evacuate/a', {});
    store.put('op/evacuate/b', {});
    store.remove('op/evacuate/a');
    store.put('servers/i-1', ENDPOINT);
    return { evacuated, watched: await watch(source, revision, 5000) };
  };
  await withStore(async (store, source) => {
    const { evacuated, watched } = await change(store, source);
    assert.deepEqual(evacuated, []);
    assert.deepEqual(watched.evacuations, {
      kind: 'changes',
      changes: [
        { kind: 'begun', dataCentre: 'a' },
        { kind: 'begun', dataCentre: 'b' },
        { kind: 'ended', dataCentre: 'a' },
      ],
    });
    assert.equal(watched.endpoints.length, 1);
  });
  await withStore(async (store, source) => {
    const { evacuated, watched } = await change(store, source);
    assert.deepEqual([evacuated, watched.evacuations], [undefined, undefined]);
  }, 'endpoints');
});

/**
 * Other writers may leave records beside the operators' own. An invalid one must neither evacuate a
 * data centre nor end the evacuation of one, nor keep the others from being read.
 */
test('an invalid evacuation record is reported and skipped, and does not affect others', async () => {
  await withStore(async (store, source) => {
    const { revision } = await readAll(source);
    store.put('op/evacuate/a', {});
    store.put('op/evacuate/', {});
    store.put('op/evacuate/b/c', {});
    store.put('op/evacuate/d', 'yes');
    store.putRaw('op/evacuate/e', '%%%');
    store.putRaw('op/evacuate/a', '%%%');
    store.remove('op/evacuate/');
    const { evacuations, invalid } = await watch(source, revision, 5000);
    assert.deepEqual(evacuations, {
      kind: 'changes',
      changes: [{ kind: 'begun', dataCentre: 'a' }],
    });
    assert.equal(invalid.length, 6);
    assert.match(invalid[0] ?? '', /op\/evacuate\/: "" is not the name of a data centre; publish/);
    assert.match(invalid[2] ?? '', /op\/evacuate\/d: "yes" is not an object; publish an object/);
    store.put('op/evacuate/a', {});
    const read = await readAll(source);
    assert.deepEqual([read.evacuated, read.config.kind], [['a'], 'read']);
  });
});

test('the cold start of a service and the remaining time of a cold endpoint are decoded', async () => {
  await withStore(async (store, source) => {
    const services = [
      { name: 's-1', 'cold-start-s': 3, 'cold-per-s': 26 },
      { name: 's-2', 'cold-start-s': 3, 'cold-per-s': 0 },
      { name: 's-3' },
    ];
    store.put('op/config', { ...CONFIG, services });
    store.put('servers/i-1', { ...ENDPOINT, 'cold-remaining-ms': 2400 });
    store.put('servers/i-2', { ...ENDPOINT, 'cold-remaining-ms': 0 });
    const read = await readAll(source);
    assert.ok(read.config.kind === 'read');
    assert.deepEqual(
      [...read.config.config.services.values()].map(({ coldStart }) => coldStart),
      [{ durationMs: 3000, perS: 26 }, undefined, undefined],
    );
    assert.deepEqual(
      read.endpoints.map(({ coldRemainingMs }) => coldRemainingMs),
      [2400, undefined],
    );
  });
});

test('an invalid endpoint record is reported by field, value and remedy, and does not affect others', async () => {
  await withStore(async (store, source) => {
    store.put('servers/i-1', { ...ENDPOINT, address: 7 });
    store.put('servers/i-2', ENDPOINT);
    const { endpoints, invalid, revision } = await readAll(source);
    assert.deepEqual(
      endpoints.map((e) => e.id),
      ['i-2'],
    );
    assert.match(invalid[0] ?? '', /servers\/i-1\.address: 7 is not a string; publish a string/);
    store.put('servers/i-3', { ...ENDPOINT, slots: -1 });
    store.put('servers/i-4', ENDPOINT);
    const changed = await watch(source, revision, 5000);
    assert.deepEqual(
      changed.endpoints.map((c) => (c.kind === 'written' ? c.endpoint.id : `no ${c.id}`)),
      ['no i-3', 'i-4'],
    );
    assert.match(changed.invalid[0] ?? '', /i-3\.slots: -1/);
  });
});

/**
 * Records may come from other writers. Guards against three failures: an unknown state treated as
 * draining for good, an invalid address failing each request that is sent to it, and an endpoint
 * kept as it was after its record was overwritten by an invalid one.
 */
const INVALID_RECORDS: readonly (readonly [string, unknown, RegExp])[] = [
  ['an unknown state', { ...ENDPOINT, state: 'asleep' }, /state: "asleep" is not a known state/],
  ['no state', { ...ENDPOINT, state: undefined }, /state: nothing is not a string/],
  [
    'a host name as address',
    { ...ENDPOINT, address: 'engine:80' },
    /address: "engine:80" is not an address/,
  ],
  [
    'an impossible port',
    { ...ENDPOINT, address: '127.0.0.9:87280' },
    /address: "127.0.0.9:87280" is not an address/,
  ],
  [
    'an impossible IP number',
    { ...ENDPOINT, address: '999.0.0.1:80' },
    /address: "999.0.0.1:80" is not an address/,
  ],
  [
    'a start time that is not a number',
    { ...ENDPOINT, born: 'today' },
    /born: "today" is not a non-negative number/,
  ],
  ['no zone', { ...ENDPOINT, zone: undefined }, /zone: nothing is not a string/],
  ['a list', [], /\[\] is not an object/],
  ['null', null, /null is not an object/],
];

for (const [description, record, message] of INVALID_RECORDS) {
  test(`a record with ${description} removes its endpoint and does not affect others`, async () => {
    await withStore(async (store, source) => {
      store.put('servers/i-1', ENDPOINT);
      store.put('servers/i-2', ENDPOINT);
      const { revision } = await readAll(source);
      store.put('servers/i-1', record);
      const { endpoints, invalid } = await watch(source, revision, 5000);
      assert.deepEqual(endpoints, [{ kind: 'removed', id: 'i-1' }]);
      assert.match(invalid[0] ?? '', message);
      const read = await readAll(source);
      assert.deepEqual(
        read.endpoints.map((e) => e.id),
        ['i-2'],
      );
      store.put('servers/i-1', { ...ENDPOINT, born: 1_772_000_000_000 });
      const again = (await readAll(source)).endpoints.find((e) => e.id === 'i-1');
      assert.equal(
        again?.startedAtMs,
        1_772_000_000_000,
        'the endpoint is back after a valid record',
      );
    });
  });
}

const STORE_FAULTS: readonly (readonly [StoreMode, ReadFault['kind']])[] = [
  ['busy', 'busy'],
  ['reset', 'reset'],
  ['silent', 'timeout'],
  ['no-json', 'invalid'],
  ['half', 'reset'],
];

for (const [mode, kind] of STORE_FAULTS) {
  test(`a store that is ${mode} causes an error of kind ${kind}, and later reads succeed`, async () => {
    await withStore(async (store, source) => {
      store.mode = mode;
      const read = await source.readAll();
      assert.ok(read.err);
      assert.equal((read.val as ReadFault).kind, kind);
      const watched = await source.watch(1, 20);
      assert.ok(watched.err);
      assert.equal((watched.val as ReadFault).kind, kind);
      store.mode = 'well';
      assert.ok((await source.readAll()).ok);
    });
  });
}

const INVALID_CONFIGS: readonly (readonly [string, unknown, RegExp])[] = [
  [
    'no version',
    { ...CONFIG, version: undefined },
    /config\.version: nothing is not a non-negative number/,
  ],
  [
    'a string for a list',
    { ...CONFIG, routes: 'all' },
    /\.routes: "all" is not a list; publish a list/,
  ],
  [
    'a negative timeout',
    { ...CONFIG, routes: [{ ...CONFIG.routes[0], 'timeout-ms': -1 }] },
    /routes\.0\.timeout-ms: -1 is not a non-negative number; publish one/,
  ],
  ['a list', [], /config: \[\] is not an object/],
];

for (const [description, document, message] of INVALID_CONFIGS) {
  test(`a configuration with ${description} is refused with field, value and remedy`, async () => {
    await withStore(async (store, source) => {
      const { revision } = await readAll(source);
      store.put('servers/i-1', ENDPOINT);
      store.put('op/config', document);
      const read = await readAll(source);
      assert.equal(read.config.kind, 'unreadable');
      assert.match(read.invalid[0] ?? '', message);
      assert.equal(read.endpoints.length, 1, 'the valid endpoint beside it is read');
      const watched = await watch(source, revision, 5000);
      assert.equal(watched.config.kind, 'unreadable');
      assert.match(watched.invalid[0] ?? '', message);
    });
  });
}

test('a value that is not valid Base64, or not valid JSON, is refused', async () => {
  await withStore(async (store, source) => {
    store.putRaw('op/config', '%%%');
    assert.match((await readAll(source)).invalid[0] ?? '', /not valid Base64; write it again/);
    store.putRaw('op/config', Buffer.from('{"version":').toString('base64'));
    assert.equal((await readAll(source)).config.kind, 'unreadable');
  });
});

test('a route of an unknown kind is treated as the strictest kind', async () => {
  await withStore(async (store, source) => {
    store.put('op/config', { ...CONFIG, routes: [{ ...CONFIG.routes[0], kind: 'keyed' }] });
    const value = await readConfig(source);
    assert.equal(findRoute(value, 'a.example', '/x/1')?.kind, 'once');
  });
});

test('changes that are larger than the limit of a response are read as a whole instead', async () => {
  await withStore(async (store, source) => {
    const { revision } = await readAll(source);
    const endpoint = { ...ENDPOINT, address: `10.0.0.1:80${' '.repeat(300_000)}` };
    for (let i = 0; i < 10; i += 1) store.put(`servers/i-${i}`, endpoint);
    const watched = await source.watch(revision, 100);
    assert.equal((watched.val as ReadFault).kind, 'oversized');
    assert.deepEqual((await source.watch(revision, 100)).unwrap(), { kind: 'forgotten' });
  });
});
