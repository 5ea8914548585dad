import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { LayerPlanner } from '../../../src/core/placement/layer-planner.js';
import { rankLoads } from '../../../src/core/placement/index.js';

const RANKS = 6;
const EXPERTS = 9;
const SLOTS = 3;

const initialMap = Array.from({ length: RANKS }, (_, rank) =>
  Array.from({ length: SLOTS - (rank % 2) }, (_, i) => (i * RANKS + rank) % EXPERTS),
);
const popularity = fc.array(fc.nat({ max: 1000 }), { minLength: EXPERTS, maxLength: EXPERTS });
const slowdownLists = fc.array(fc.constantFrom(1, 1, 3), { minLength: RANKS, maxLength: RANKS });

test('moves and drops lower the largest load by their stated gain, and mapAfter reproduces every step', () => {
  fc.assert(
    fc.property(popularity, slowdownLists, fc.boolean(), (counts, slowdowns, allowDrops) => {
      const planner = new LayerPlanner(0, initialMap, counts, SLOTS, undefined, slowdowns);
      const expectedMaps = [planner.map.map((rank) => [...rank])];
      const expectedMaxLoad = (): number =>
        Math.max(...rankLoads(planner.map, counts).map((load, r) => load * (slowdowns[r] ?? 1)));
      for (let i = 0; i < 12; i += 1) {
        const drop = allowDrops ? planner.bestDrop() : undefined;
        const change = drop ?? planner.bestMove();
        if (!change) break;
        const before = planner.maxLoad;
        if (drop) planner.applyDrop(drop);
        else if ('fetches' in change) planner.apply(change);
        assert.ok(Math.abs(before - change.gain - planner.maxLoad) < 1e-6);
        assert.ok(Math.abs(planner.maxLoad - expectedMaxLoad()) < 1e-6);
        expectedMaps.push(planner.map.map((rank) => [...rank]));
      }
      expectedMaps.forEach((expectedMap, changeCount) =>
        assert.deepEqual(planner.mapAfter(changeCount), expectedMap),
      );
    }),
  );
});
