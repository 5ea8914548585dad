import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { DemandEstimate, likeness } from '../../../src/core/placement/index.js';

const EXPERTS = 72;
const LOOK_MS = 130;

/** Popularity of the shape seen on the users' platform: one expert in four tokens, a long tail. */
function popularity(random: () => number): number[] {
  const shares = Array.from({ length: EXPERTS }, (_, i) => 1 / (i + 1) ** 1.3);
  const order = shares.map((share) => ({ share, at: random() })).sort((a, b) => a.at - b.at);
  return order.map(({ share }) => share);
}

/** Counts of one look: each expert's share, give or take some. */
function counts(shares: readonly number[], random: () => number): number[] {
  return shares.map((share) => Math.round(100_000 * share * (0.7 + 0.6 * random())));
}

test('after a shift the estimate is that of the new demand with the first look', () => {
  const random = seededRandom(5);
  const before = popularity(random);
  const after = popularity(random);
  const estimate = new DemandEstimate(1, EXPERTS);
  let nowMs = 0;
  const look = (shares: readonly number[]): number => {
    nowMs += LOOK_MS;
    estimate.add([counts(shares, random)], nowMs);
    return likeness(estimate.read()[0] ?? [], shares);
  };
  for (let i = 0; i < 30; i += 1) look(before);
  assert.ok(look(after) > 0.97);
});

test('while demand holds, older counts make the estimate better than the newest alone', () => {
  const random = seededRandom(7);
  const shares = popularity(random);
  const estimate = new DemandEstimate(1, EXPERTS);
  let kept = 0;
  let alone = 0;
  for (let i = 0; i < 60; i += 1) {
    const newest = counts(shares, random);
    estimate.add([newest], i * LOOK_MS);
    if (i < 10) continue;
    kept += 1 - likeness(estimate.read()[0] ?? [], shares);
    alone += 1 - likeness(newest, shares);
  }
  assert.ok(kept < alone / 2, `${kept} ${alone}`);
});

test('a layer that shifts leaves the others as they are', () => {
  const estimate = new DemandEstimate(2, 2);
  estimate.add(
    [
      [10_000, 0],
      [10_000, 0],
    ],
    0,
  );
  estimate.add(
    [
      [0, 10_000],
      [10_000, 0],
    ],
    100,
  );
  const [first, second] = estimate.read();
  assert.deepEqual(first, [0, 10_000]);
  assert.ok((second?.[0] ?? 0) > 15_000);
});

test('a few tokens are no shift, and counts that lie are left out', () => {
  const estimate = new DemandEstimate(1, 2);
  estimate.add([[10_000, 0]], 0);
  estimate.add([[0, 5]], 0);
  assert.deepEqual(estimate.read(), [[10_000, 5]]);
  estimate.add([[Number.NaN, -5]], 0);
  estimate.add([[Number.POSITIVE_INFINITY, 0]], 0);
  assert.deepEqual(estimate.read(), [[10_000, 5]]);
});
