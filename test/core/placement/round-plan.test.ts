import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/core/clock/index.js';
import {
  fetchedExperts,
  loadSums,
  planRound,
  rankLoads,
  type Placement,
  type Popularity,
} from '../../../src/core/placement/index.js';

const RANKS = 4;
const EXPERTS = 12;
const LAYERS = 2;
const SLOTS = 4;

/** Experts dealt out in turn, as a group starts with. */
const dealt: Placement = Array.from({ length: LAYERS }, () =>
  Array.from({ length: RANKS }, (_, rank) =>
    Array.from({ length: EXPERTS / RANKS }, (_, i) => i * RANKS + rank),
  ),
);
const popularity = fc.array(
  fc.array(fc.nat({ max: 1000 }), { minLength: EXPERTS, maxLength: EXPERTS }),
  { minLength: LAYERS, maxLength: LAYERS },
);
const some = fc.integer({ min: 1, max: 3 });
const paces = fc.array(fc.constantFrom(1, 1, 1, 5), { minLength: RANKS, maxLength: RANKS });

/**
 * Largest rank loads over the mean, over all layers, when ranks are as slow as told.
 * @example skewOf([[[0], [1]]], [[3, 1]], [1, 1]) // 1.5
 */
function skewOf(current: Placement, popularity: Popularity, pace: readonly number[]): number {
  const { mean } = loadSums(current, popularity);
  if (mean <= 0) return 1;
  const most = current.map((map, l) =>
    Math.max(...rankLoads(map, popularity[l] ?? []).map((load, rank) => load * (pace[rank] ?? 1))),
  );
  return most.reduce((sum, load) => sum + load, 0) / mean;
}

test('a round keeps every expert, keeps to slots and copies a rank, and never makes skew worse', () => {
  fc.assert(
    fc.property(popularity, paces, some, some, (counts, pace, mostNew, mostNewInLayer) => {
      const policy = { slotsPerRank: SLOTS, mostNew, mostNewInLayer, gainPerCopy: 0.002, pace };
      const plan = planRound(dealt, counts, policy);
      plan.placement.forEach((layer) => {
        assert.equal(new Set(layer.flat()).size, EXPERTS);
        for (const rank of layer) {
          assert.ok(rank.length <= SLOTS);
          assert.equal(new Set(rank).size, rank.length);
        }
      });
      for (let rank = 0; rank < RANKS; rank += 1) {
        const own = (p: Placement): Placement => p.map((layer) => [layer[rank] ?? []]);
        assert.ok(fetchedExperts(own(dealt), own(plan.placement)) <= mostNew);
        dealt.forEach((layer, l) => {
          const had = new Set(layer[rank]);
          const brought = (plan.placement[l]?.[rank] ?? []).filter((e) => !had.has(e));
          assert.ok(brought.length <= mostNewInLayer, 'an engine refuses more');
        });
      }
      assert.ok(plan.skewAfter <= plan.skewBefore + 1e-9);
      assert.ok(Math.abs(plan.skewAfter - skewOf(plan.placement, counts, pace)) < 1e-6);
    }),
  );
});

test('a slow rank is relieved, also by giving up what others hold too', () => {
  const even = Array.from({ length: LAYERS }, () => new Array<number>(EXPERTS).fill(100));
  const pace = [5, 1, 1, 1];
  let current = dealt;
  for (let round = 0; round < 6; round += 1) {
    const policy = { slotsPerRank: SLOTS, mostNew: 2, mostNewInLayer: 2, gainPerCopy: 0.002, pace };
    current = planRound(current, even, policy).placement;
  }
  assert.ok(skewOf(dealt, even, pace) > 4.9);
  assert.ok(skewOf(current, even, pace) < 2, `${skewOf(current, even, pace)}`);
  assert.ok((current[0]?.[0]?.length ?? 9) < SLOTS, 'the slow rank holds fewer experts');
});

test('nothing is copied where nothing is gained', () => {
  const even = Array.from({ length: LAYERS }, () => new Array<number>(EXPERTS).fill(100));
  const policy = {
    slotsPerRank: SLOTS,
    mostNew: 2,
    mostNewInLayer: 2,
    gainPerCopy: 0.002,
    pace: [1, 1, 1, 1],
  };
  assert.equal(planRound(dealt, even, policy).copies, 0);
  const none = Array.from({ length: LAYERS }, () => new Array<number>(EXPERTS).fill(0));
  assert.equal(planRound(dealt, none, policy).copies, 0);
});

/**
 * Story: on a group of 129 ranks, 16 layers and 258 experts four new maps came into use in 57 s where a group of 12 had
 * 25, and each of them long after demand had shifted.
 * Evidence: a plan for such a group took 296 to 867 ms of a whole core (eight plans, one run), and an agent has 0.4 of one:
 * for a second or two at a time the coordinator answered nobody. Now 68 to 158 ms in the same plans, with the same copies
 * in seven of eight and the same skew in all.
 */
test('a plan for 129 ranks takes 200 ms of a core at most; 296 at least before', () => {
  const ranks = 129;
  const layers = 16;
  const experts = 258;
  const slotsPerRank = 3;
  const random = seededRandom(5);
  const current = Array.from({ length: layers }, () =>
    Array.from({ length: ranks }, (_, rank) => [
      ...new Set([0, 1, 2].map((i) => (rank + i * ranks) % experts)),
    ]),
  );
  const liked = (): number => Math.exp(2 * (random() + random() + random() + random() - 2));
  const times = Array.from({ length: 5 }, () => {
    const demand = current.map(() => Array.from({ length: experts }, () => 1000 * liked()));
    const pace = new Array<number>(ranks).fill(1);
    const policy = { slotsPerRank, mostNew: 16, mostNewInLayer: 2, gainPerCopy: 7e-5, pace };
    const startedAt = process.cpuUsage();
    const plan = planRound(current, demand, policy);
    const { user, system } = process.cpuUsage(startedAt);
    assert.ok(plan.copies > 500 && plan.skewAfter < 0.4 * plan.skewBefore);
    return (user + system) / 1000;
  });
  assert.ok(Math.min(...times) < 200, `${Math.min(...times)} ms`);
});
