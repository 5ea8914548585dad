import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { DemandEstimate, cosineSimilarity } from '../../../src/core/placement/index.js';

const EXPERTS = 72;
const POLL_INTERVAL_MS = 130;

/**
 * Shares as observed in production: one expert gets a quarter of the tokens, followed by a long
 * tail.
 */
function randomShares(random: () => number): number[] {
  const shares = Array.from({ length: EXPERTS }, (_, i) => 1 / (i + 1) ** 1.3);
  const order = shares.map((share) => ({ share, at: random() })).sort((a, b) => a.at - b.at);
  return order.map(({ share }) => share);
}

/** Counts of one poll: each expert's share with up to 30% of noise. */
function noisyCounts(shares: readonly number[], random: () => number): number[] {
  return shares.map((share) => Math.round(100_000 * share * (0.7 + 0.6 * random())));
}

test('the first poll after a shift brings the estimate to the new demand', () => {
  const random = seededRandom(5);
  const before = randomShares(random);
  const after = randomShares(random);
  const estimate = new DemandEstimate(1, EXPERTS);
  let nowMs = 0;
  const pollOnce = (shares: readonly number[]): number => {
    nowMs += POLL_INTERVAL_MS;
    estimate.add([noisyCounts(shares, random)], nowMs);
    return cosineSimilarity(estimate.read()[0] ?? [], shares);
  };
  for (let i = 0; i < 30; i += 1) pollOnce(before);
  assert.ok(pollOnce(after) > 0.97);
});

test('under stable demand the estimate is at least twice as accurate as the newest counts alone', () => {
  const random = seededRandom(7);
  const shares = randomShares(random);
  const estimate = new DemandEstimate(1, EXPERTS);
  let estimateError = 0;
  let newestError = 0;
  for (let i = 0; i < 60; i += 1) {
    const newest = noisyCounts(shares, random);
    estimate.add([newest], i * POLL_INTERVAL_MS);
    if (i < 10) continue;
    estimateError += 1 - cosineSimilarity(estimate.read()[0] ?? [], shares);
    newestError += 1 - cosineSimilarity(newest, shares);
  }
  assert.ok(estimateError < newestError / 2, `${estimateError} ${newestError}`);
});

test('a shift in one layer does not reset the others', () => {
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

test('a few tokens do not trigger a shift, and negative or non-finite counts are ignored', () => {
  const estimate = new DemandEstimate(1, 2);
  estimate.add([[10_000, 0]], 0);
  estimate.add([[0, 5]], 0);
  assert.deepEqual(estimate.read(), [[10_000, 5]]);
  estimate.add([[Number.NaN, -5]], 0);
  estimate.add([[Number.POSITIVE_INFINITY, 0]], 0);
  assert.deepEqual(estimate.read(), [[10_000, 5]]);
});
