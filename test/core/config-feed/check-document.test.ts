import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  bodyDigest,
  canonicalJson,
  FeedStore,
  checkDocument,
} from '../../../src/core/config-feed/index.js';
import { systemClock } from '../../../src/core/clock/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import type {
  ConfigurationBody,
  ConfigurationDocument,
} from '../../../src/generated/configuration.types.js';
import { sampleBody, sampleDocument } from '../../fixtures/configuration.js';

function createStore(): { store: FeedStore; metrics: Metrics } {
  const metrics = new Metrics();
  return { store: new FeedStore(systemClock, silentLog, metrics), metrics };
}

function reasonOf(doc: unknown): string {
  const result = checkDocument(structuredClone(doc));
  return result.err ? result.val.reason : 'accepted';
}

test('a document not based on the preceding version is refused without knowing other versions', () => {
  assert.equal(reasonOf(sampleDocument(7)), 'accepted');
  assert.equal(reasonOf({ ...sampleDocument(7), basedOn: 5 }), 'document-raced');
});

test('a document whose body does not match its digest is refused', () => {
  const doc = sampleDocument(1);
  const altered = {
    ...doc,
    body: { ...doc.body, policy: { ...doc.body.policy, retryShare: 0.9 } },
  };
  assert.equal(reasonOf(altered), 'document-digest');
});

test('errors that the schema cannot express are reported with a remedy', () => {
  const body = sampleBody();
  const duplicated: ConfigurationBody = {
    ...body,
    organisations: [...body.organisations, ...body.organisations],
  };
  const result = checkDocument({
    version: 1,
    basedOn: 0,
    digest: bodyDigest(duplicated),
    body: duplicated,
  });
  assert.ok(result.err);
  assert.match(result.val.detail, /organisation "rwandair" stands twice; keep one/);
});

test('arbitrary data is refused and never throws', () => {
  fc.assert(
    fc.property(fc.anything(), (data) => {
      assert.ok(checkDocument(data).err);
    }),
    { seed: 3, numRuns: 500 },
  );
});

test('canonical JSON does not depend on key order', () => {
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (value) => {
      const reversed = Object.fromEntries(Object.entries(value).reverse());
      assert.equal(canonicalJson(reversed), canonicalJson(value));
    }),
    { seed: 5, numRuns: 300 },
  );
});

test('in any order of arrival, the version in force only increases and raced documents are refused', () => {
  const offered = fc.array(
    fc.record({ version: fc.integer({ min: 1, max: 12 }), raced: fc.boolean() }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(offered, (docs) => {
      const { store } = createStore();
      let last = 0;
      for (const { version, raced } of docs) {
        const doc: ConfigurationDocument = sampleDocument(version);
        store.offerConfig(raced ? { ...doc, basedOn: version - 2 } : doc, 'test');
        const now = store.versions().config;
        assert.ok(now >= last);
        if (now !== last) assert.equal(raced, false);
        last = now;
      }
    }),
    { seed: 9, numRuns: 300 },
  );
});

test('a waiting reader receives a newer document as soon as it is accepted', async () => {
  const { store } = createStore();
  const waiting = store.waitForUpdates({ config: 0, list: 0 }, 10_000);
  store.offerConfig(sampleDocument(3), 'test');
  assert.equal((await waiting)?.config?.version, 3);
  assert.equal(await store.waitForUpdates({ config: 3, list: 0 }, 0), undefined);
});

test('refused documents are counted by reason and listed', () => {
  const { store, metrics } = createStore();
  store.offerConfig({ ...sampleDocument(4), basedOn: 1 }, 'platform');
  assert.equal(metrics.value('config_refused_total', { reason: 'document-raced' }), 1);
  assert.equal(store.refused[0]?.version, 4);
});

test('an accepted document is forwarded exactly as published, so that its digest matches at the next daemon', () => {
  const doc = sampleDocument(2);
  const minimalBody = {
    ...doc.body,
    events: undefined,
    policy: { ...doc.body.policy, eventCostFactor: undefined },
  };
  const published = JSON.parse(
    JSON.stringify({ ...doc, body: minimalBody, digest: bodyDigest(minimalBody) }),
  ) as ConfigurationDocument;
  const { store: first } = createStore();
  const { store: second } = createStore();
  first.offerConfig(structuredClone(published), 'platform');
  second.offerUpdate(
    JSON.parse(JSON.stringify(first.updatesSince({ config: 0, list: 0 }))) as object,
    'peer',
  );
  assert.equal(second.versions().config, 2);
  assert.deepEqual(second.config, published);
});

test('a document corrupted in transit does not block the intact one', () => {
  const { store } = createStore();
  const doc = sampleDocument(2);
  store.offerConfig({ ...doc, digest: '0'.repeat(64) }, 'peer');
  store.offerConfig(doc, 'platform');
  assert.equal(store.versions().config, 2);
});

test('a refused version is not requested again, a higher one is', () => {
  const { store } = createStore();
  store.offerConfig(sampleDocument(3), 'platform');
  store.offerConfig({ ...sampleDocument(4), basedOn: 2 }, 'platform');
  assert.deepEqual([store.versions().config, store.handledVersions().config], [3, 4]);
  assert.equal(store.offerConfig(sampleDocument(5), 'platform'), true);
});
