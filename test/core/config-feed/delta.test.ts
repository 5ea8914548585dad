import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { systemClock } from '../../../src/core/clock/index.js';
import {
  applyConfig,
  applyList,
  bodyDigest,
  diffConfig,
  diffList,
  FeedStore,
} from '../../../src/core/config-feed/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../../src/generated/configuration.types.js';
import type { InstanceList } from '../../../src/generated/instances.types.js';
import { sampleBody } from '../../fixtures/configuration.js';

function documentOf(
  version: number,
  names: readonly string[],
  weight: number,
): ConfigurationDocument {
  const organisations = names.map((id) => ({
    id,
    keySha256: bodyDigest(id),
    weight,
    tokensPerSecond: 1,
  }));
  const body: ConfigurationBody = {
    ...sampleBody(),
    organisations,
    policy: { ...sampleBody().policy, retryShare: weight / 100 },
  };
  return { version, basedOn: version - 1, digest: bodyDigest(body), body };
}

function storeOf(doc: ConfigurationDocument): { store: FeedStore; metrics: Metrics } {
  const metrics = new Metrics();
  const store = new FeedStore(systemClock, silentLog, metrics);
  store.offerConfig(structuredClone(doc), 'test');
  return { store, metrics };
}

const throughWire = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;
const names = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,3}$/), { minLength: 1, maxLength: 12 });

test('a delta rebuilds the same document after organisations are added, changed or removed', () => {
  fc.assert(
    fc.property(names, names, fc.integer({ min: 1, max: 9 }), (before, after, weight) => {
      const [one, two] = [documentOf(1, before, 1), documentOf(2, after, weight)];
      const rebuilt = applyConfig(one, throughWire(diffConfig(one, two))) as ConfigurationDocument;
      const sorted = (doc: ConfigurationDocument) =>
        [...doc.body.organisations].sort((a, b) => (a.id < b.id ? -1 : 1));
      assert.deepEqual(sorted(rebuilt), sorted(two));
      assert.deepEqual({ ...rebuilt.body, organisations: [] }, { ...two.body, organisations: [] });
    }),
    { seed: 51, numRuns: 300 },
  );
});

test('a follower reaches the same document, by a delta or otherwise by the full document', () => {
  fc.assert(
    fc.property(names, names, (before, after) => {
      const relay = storeOf(documentOf(1, before, 1)).store;
      const follower = storeOf(documentOf(1, before, 1)).store;
      relay.offerConfig(documentOf(2, after, 2), 'platform');
      for (let attempt = 0; attempt < 2; attempt += 1) {
        const update = relay.updatesSince(follower.requestedVersions());
        if (update) follower.offerUpdate(throughWire(update), 'relay');
      }
      assert.deepEqual(follower.config, relay.config);
    }),
    { seed: 52, numRuns: 300 },
  );
});

test('a small change to a large document gives a small message', () => {
  const many = Array.from({ length: 2000 }, (_, i) => `o${i}`);
  const relay = storeOf(documentOf(1, many, 1)).store;
  const next = documentOf(2, many, 1);
  const body = { ...next.body, policy: { ...next.body.policy, retryShare: 0.3 } };
  relay.offerConfig({ ...next, body, digest: bodyDigest(body) }, 'platform');
  const update = relay.updatesSince({ config: 1, list: 0 });
  assert.ok(update?.configDelta && !update.config);
  assert.ok(JSON.stringify(update).length < 1000);
  assert.ok(
    relay.updatesSince({ config: 0, list: 0 })?.config,
    'a peer that holds another version gets the full document',
  );
});

test('a delta corrupted in transit is refused, and the full document is requested', () => {
  const relay = storeOf(documentOf(1, ['a', 'b'], 1)).store;
  const { store: follower, metrics } = storeOf(documentOf(1, ['a', 'b'], 1));
  relay.offerConfig(documentOf(2, ['a'], 1), 'platform');
  const update = throughWire(relay.updatesSince(follower.requestedVersions()));
  assert.ok(update?.configDelta);
  follower.offerUpdate({ configDelta: { ...update.configDelta, parts: {} } }, 'relay');
  assert.equal(follower.versions().config, 1);
  assert.equal(metrics.value('feed_deltas_total', { taken: 'false' }), 1);
  assert.equal(follower.requestedVersions().config, 0);
  follower.offerUpdate(
    throughWire(relay.updatesSince(follower.requestedVersions()) ?? {}),
    'relay',
  );
  assert.deepEqual([follower.versions().config, follower.requestedVersions().config], [2, 2]);
});

test('an instance list delta rebuilds the same list', () => {
  const record = (instance: string, state: 'live' | 'leaving') => ({
    instance,
    role: 'entry' as const,
    dataCentre: 'a',
    host: 'h',
    port: 1,
    state,
  });
  const before: InstanceList = {
    version: 1,
    instances: [record('x', 'live'), record('y', 'live')],
  };
  const after: InstanceList = {
    version: 2,
    instances: [record('y', 'leaving'), record('z', 'live')],
  };
  const delta = throughWire(diffList(before, after));
  assert.deepEqual(delta.items.remove, ['x']);
  assert.deepEqual(applyList(before, delta), after);
});
