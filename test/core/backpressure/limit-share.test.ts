/**
 * Guards against a burst of saved tokens. With a limit of 4 requests/s divided equally among 42
 * entries, each entry had saved one token while idle, and all 42 requests were sent at once when
 * callers returned; 29 are allowed in 4 s. The way of dividing that is used stays within the bound
 * under any load.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  LIMIT_POLICIES,
  simulateLimit,
  type LimitScenario,
  type LimitPolicy,
} from '../../../bench/decisions/limit-model.js';
import {
  limitShare,
  TokenBucket,
  releasedShare,
  ASSUMED_PEERS,
} from '../../../src/core/backpressure/index.js';

const WAY = LIMIT_POLICIES['a ring of as many as the bound bears'];
const bound = (limitPerS: number): number => 1.5 * limitPerS * 4 + 5;

const PLAY: LimitScenario = {
  seed: 1,
  entries: 6,
  endpoints: 3,
  limitPerS: 4,
  load: 2,
  seconds: 60,
};
const WAVES = { load: 6, waveS: 15 } as const;

function maxInWindow(way: LimitPolicy, play: Partial<LimitScenario>): number {
  const seeds = [1, 2, 3].map((seed) => simulateLimit({ ...PLAY, ...play, seed }, way).maxInWindow);
  return Math.max(...seeds);
}

test('equal shares exceed the bound when callers return after an idle time', () => {
  assert.ok(
    maxInWindow(LIMIT_POLICIES['an equal share each'], { entries: 42, ...WAVES }) > bound(4),
  );
});

test('the ring stays within the bound at any number of entries, load, distribution of callers, waves, and differing views', () => {
  const play = fc.record({
    seed: fc.nat(),
    entries: fc.constantFrom(1, 2, 6, 12, 16, 26, 27, 42, 100),
    endpoints: fc.constantFrom(1, 3, 7),
    limitPerS: fc.constantFrom(0, 0.5, 1, 2.3, 4, 20),
    load: fc.constantFrom(0.5, 1, 2, 8),
    firstShare: fc.constantFrom(undefined, 0.5, 0.9),
    waveS: fc.constantFrom(undefined, 5, 9),
    strangersS: fc.constantFrom(0, 2),
    unseen: fc.constantFrom(0, 0, 1, 2),
    seconds: fc.constant(30),
  });
  fc.assert(
    fc.property(play, ({ firstShare, waveS, ...rest }) => {
      const varied = {
        ...rest,
        ...(firstShare !== undefined && { firstShare }),
        ...(waveS !== undefined && { waveS }),
      };
      assert.ok(simulateLimit(varied, WAY).maxInWindow <= bound(rest.limitPerS));
    }),
    { numRuns: 150 },
  );
});

test('most of the limits is used at a load of twice the limits, evenly and unevenly distributed', () => {
  const used = (play: Partial<LimitScenario>): number =>
    simulateLimit({ ...PLAY, ...play }, WAY).usedShare;
  // The targets are 0.85 and 0.7. Many entries with few callers each miss them, since only 26
  // entries may send to one endpoint.
  assert.ok(used({ entries: 6 }) >= 0.85);
  assert.ok(used({ entries: 6, firstShare: 0.5 }) >= 0.7);
  assert.ok(used({ entries: 42, limitPerS: 20 }) >= 0.75);
  assert.ok(used({ entries: 42 }) >= 0.6);
});

test('the shares of all entries never exceed the limit in sum', () => {
  const facts = fc.record({
    limitPerS: fc.double({ min: 0.1, max: 50, noNaN: true }),
    count: fc.integer({ min: 1, max: 200 }),
    ringPlace: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
  });
  fc.assert(
    fc.property(facts, ({ limitPerS, count, ringPlace }) => {
      const shares = Array.from({ length: count }, (_, place) =>
        limitShare({ limitPerS, peers: { index: place, count }, ringPosition: ringPlace }),
      );
      const perS = shares.reduce((sum, share) => sum + share.perS, 0);
      assert.ok(perS <= limitPerS * 1.000001);
      const inWindow = shares.map((share) =>
        share.perS === 0 ? 0 : Math.floor(share.saved + share.perS * 4),
      );
      assert.ok(inWindow.reduce((sum, n) => sum + n, 0) <= bound(limitPerS));
    }),
  );
});

test('with more entries than may send to one endpoint, each sends to about the same number of endpoints', () => {
  const count = 100;
  const endpoints = 20;
  const endpointsPerEntry = Array.from({ length: count }, (_, place) => {
    const shares = Array.from({ length: endpoints }, (__, i) =>
      limitShare({ limitPerS: 1, peers: { index: place, count }, ringPosition: i / endpoints }),
    );
    return shares.filter(({ perS }) => perS > 0).length;
  });
  assert.ok(Math.min(...endpointsPerEntry) >= 1);
  assert.ok(Math.max(...endpointsPerEntry) - Math.min(...endpointsPerEntry) <= 1);
});

test('an entry that knows no peers assumes that there are many', () => {
  const isolated = limitShare({
    limitPerS: 4,
    peers: { index: undefined, count: ASSUMED_PEERS },
    ringPosition: 0,
  });
  assert.deepEqual(isolated, { perS: 4 / ASSUMED_PEERS, saved: 1 });
});

test('the rate ramps up after the end of a limit', () => {
  const peers = { index: 0, count: 10 };
  assert.equal(releasedShare(4, peers, 0).perS, 0.4);
  assert.equal(releasedShare(4, peers, 3000).perS, 3.2);
  assert.ok(releasedShare(0, peers, 0).perS > 0);
});

test('a bucket starts with a random part of one token and never exceeds its capacity', () => {
  const share = { perS: 0.5, saved: 1 };
  const empty = new TokenBucket(() => 0);
  assert.equal(empty.nextTokenAtMs(share, 0), 2000);
  assert.equal(empty.nextTokenAtMs(share, 60_000), 60_000);
  empty.consume(share, 60_000);
  assert.equal(empty.nextTokenAtMs(share, 60_000), 62_000);
  const half = new TokenBucket(() => 0.5);
  assert.equal(half.nextTokenAtMs(share, 0), 1000);
  assert.equal(half.nextTokenAtMs({ perS: 0, saved: 1 }, 0), Number.POSITIVE_INFINITY);
});
