import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_FAULTS, simulate, assertRecovers, type Faults } from './switch-simulation.js';

test('a calm group switches again and again and never waits', async () => {
  const { group, switched } = await simulate(1, NO_FAULTS);
  assert.ok(switched > 50, `${switched} switches`);
  assert.deepEqual(group.mixed, []);
  assert.ok(group.longestHoldMs <= 80, `${group.longestHoldMs} ms between two steps`);
});

const FAULT_CASES: readonly (readonly [string, Faults])[] = [
  ['late orders', { ...NO_FAULTS, lateShare: 0.4 }],
  ['lost calls', { ...NO_FAULTS, lostShare: 0.1 }],
  ['restarts of agents', { ...NO_FAULTS, restartsAgents: true }],
  // Engines outlive their agents: a version that one still holds must not be taken for another map.
  ['kills of all agents at once', { ...NO_FAULTS, killsAllAgents: true }],
  ['kills of all agents and late orders', { ...NO_FAULTS, killsAllAgents: true, lateShare: 0.2 }],
];

for (const [what, trouble] of FAULT_CASES)
  test(`under ${what} no step begins with two maps, and the group goes on afterwards`, () =>
    assertRecovers(trouble));
