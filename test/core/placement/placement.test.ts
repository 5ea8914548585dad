import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  countFetchedExperts,
  planPlacement,
  PopularityEstimate,
  rankLoads,
  packPlacement,
  stepSkew,
  applyDeclaredShifts,
  type Placement,
  type PlacementPolicy,
  type Popularity,
} from '../../../src/core/placement/index.js';

const POLICY: PlacementPolicy = {
  skewWeight: 1,
  costWeight: 1,
  expertBytes: 1,
  slotsPerRank: 3,
  bytesPerSecond: 1e9,
  budgetBytes: 1e9,
  balancedStepMs: 5,
  horizonSteps: 1000,
};

function contiguousPlacement(ranks: number, experts: number, layers: number): Placement {
  const layer = Array.from({ length: ranks }, (_, r) =>
    Array.from({ length: experts / ranks }, (_, i) => (r * experts) / ranks + i),
  );
  return Array.from({ length: layers }, () => layer);
}

const popularityArbitrary = (layers: number, experts: number) =>
  fc.array(fc.array(fc.nat({ max: 1000 }), { minLength: experts, maxLength: experts }), {
    minLength: layers,
    maxLength: layers,
  });

function assertComplete(placement: Placement, experts: number, slots: number): void {
  for (const layer of placement) {
    assert.equal(new Set(layer.flat()).size, experts, 'every expert is placed');
    for (const rank of layer) {
      assert.ok(rank.length <= slots, 'no rank holds more than its slots');
      assert.equal(new Set(rank).size, rank.length, 'no rank holds an expert twice');
    }
  }
}

test('a plan keeps every expert placed, respects slots and budget, and never raises the skew', () => {
  fc.assert(
    fc.property(
      popularityArbitrary(2, 8),
      fc.integer({ min: 0, max: 20 }),
      (popularity, budgetBytes) => {
        const current = contiguousPlacement(4, 8, 2);
        const plan = planPlacement(current, popularity, { ...POLICY, budgetBytes });
        assertComplete(plan.placement, 8, POLICY.slotsPerRank);
        assert.ok(plan.bytes <= budgetBytes);
        assert.ok(plan.skewAfter <= plan.skewBefore + 1e-9);
        assert.ok(countFetchedExperts(current, plan.placement) <= plan.fetches.length);
      },
    ),
    { seed: 41, numRuns: 300 },
  );
});

test('packing from scratch places every expert and respects the slots', () => {
  fc.assert(
    fc.property(popularityArbitrary(1, 12), (popularity) =>
      assertComplete(packPlacement(popularity, 4, 4), 12, 4),
    ),
    { seed: 42, numRuns: 300 },
  );
});

test('a hot expert is replicated, and a balanced group is left unchanged', () => {
  const hot: Popularity = [[80, 10, 10, 10, 10, 10, 10, 10]];
  const plan = planPlacement(contiguousPlacement(4, 8, 1), hot, POLICY);
  assert.ok(plan.skewAfter < plan.skewBefore * 0.8);
  const even: Popularity = [[10, 10, 10, 10, 10, 10, 10, 10]];
  assert.equal(planPlacement(contiguousPlacement(4, 8, 1), even, POLICY).fetches.length, 0);
});

test('a higher cost weight never increases the number of fetches', () => {
  const drifted: Popularity = [[100, 40, 30, 20, 10, 5, 5, 5]];
  const moves = [0.01, 1, 100, 100_000].map(
    (costWeight) =>
      planPlacement(contiguousPlacement(4, 8, 1), drifted, {
        ...POLICY,
        costWeight,
        bytesPerSecond: 1,
      }).fetches.length,
  );
  for (let i = 1; i < moves.length; i += 1) assert.ok((moves[i] ?? 0) <= (moves[i - 1] ?? 0));
  assert.ok((moves[0] ?? 0) > 0);
  assert.equal(moves.at(-1), 0);
});

test('negative or non-finite counts are ignored by the popularity estimate', () => {
  const estimate = new PopularityEstimate(1, 3, 1000);
  estimate.add([[Number.NaN, -5, Number.POSITIVE_INFINITY]], 0);
  estimate.add([[4, 0, 0]], 0);
  assert.deepEqual(estimate.read(), [[4, 0, 0]]);
  estimate.add([[0, 0, 0]], 1000);
  assert.deepEqual(estimate.read(), [[2, 0, 0]]);
});

test('a declared shift changes only the experts that it names', () => {
  assert.deepEqual(
    applyDeclaredShifts(
      [[10, 10]],
      [
        { expert: 0, factor: 3 },
        { expert: 9, factor: 3 },
      ],
      0.5,
    ),
    [[20, 10]],
  );
});

test('replicas share the load of an expert evenly, and skew is the largest load over the mean', () => {
  assert.deepEqual(rankLoads([[0], [0, 1]], [10, 4]), [5, 9]);
  assert.equal(stepSkew([[[0], [1]]], [[3, 1]]), 1.5);
  assert.equal(stepSkew([[[0], [1]]], [[0, 0]]), 1);
});
