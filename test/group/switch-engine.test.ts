import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_FAULTS, simulate, assertRecovers, type Faults } from './switch-simulation.js';

test('without faults a group switches repeatedly without delaying steps', async () => {
  const { group, switched } = await simulate(1, NO_FAULTS);
  assert.ok(switched > 50, `${switched} switches`);
  assert.deepEqual(group.mixedSteps, []);
  assert.ok(group.longestHoldMs <= 80, `${group.longestHoldMs} ms between two steps`);
});

const FAULT_CASES: readonly (readonly [string, Faults])[] = [
  ['late orders', { ...NO_FAULTS, lateShare: 0.4 }],
  ['lost calls', { ...NO_FAULTS, lostShare: 0.1 }],
  ['agent restarts', { ...NO_FAULTS, restartsAgents: true }],
  // Engines outlive their agents: a version still held by an engine must not be mistaken for
  // another map.
  ['simultaneous kills of all agents', { ...NO_FAULTS, killsAllAgents: true }],
  [
    'simultaneous kills of all agents and late orders',
    { ...NO_FAULTS, killsAllAgents: true, lateShare: 0.2 },
  ],
];

for (const [what, faults] of FAULT_CASES)
  test(`under ${what} no step starts with mixed maps, and the group recovers`, () =>
    assertRecovers(faults));
