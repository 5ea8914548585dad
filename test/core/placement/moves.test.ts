import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { LayerPlanner } from '../../../src/core/placement/moves.js';
import { rankLoads } from '../../../src/core/placement/index.js';

const RANKS = 6;
const EXPERTS = 9;
const SLOTS = 3;

const dealt = Array.from({ length: RANKS }, (_, rank) =>
  Array.from({ length: SLOTS - (rank % 2) }, (_, i) => (i * RANKS + rank) % EXPERTS),
);
const popularity = fc.array(fc.nat({ max: 1000 }), { minLength: EXPERTS, maxLength: EXPERTS });
const paces = fc.array(fc.constantFrom(1, 1, 3), { minLength: RANKS, maxLength: RANKS });

test('what a move or drop is said to gain is what it gains, and the way can be walked again', () => {
  fc.assert(
    fc.property(popularity, paces, fc.boolean(), (counts, pace, drops) => {
      const planner = new LayerPlanner(0, dealt, counts, SLOTS, undefined, pace);
      const ways = [planner.map.map((rank) => [...rank])];
      const largest = (): number =>
        Math.max(...rankLoads(planner.map, counts).map((load, r) => load * (pace[r] ?? 1)));
      for (let i = 0; i < 12; i += 1) {
        const drop = drops ? planner.bestDrop() : undefined;
        const step = drop ?? planner.bestMove();
        if (!step) break;
        const before = planner.maxLoad;
        if (drop) planner.applyDrop(drop);
        else if ('fetches' in step) planner.apply(step);
        assert.ok(Math.abs(before - step.gain - planner.maxLoad) < 1e-6);
        assert.ok(Math.abs(planner.maxLoad - largest()) < 1e-6);
        ways.push(planner.map.map((rank) => [...rank]));
      }
      ways.forEach((way, steps) => assert.deepEqual(planner.mapAfter(steps), way));
    }),
  );
});
