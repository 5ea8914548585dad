import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NO_FAULTS, simulate, assertRecovers, type Faults } from './switch-simulation.js';

const FAULT_CASES: readonly (readonly [string, Faults])[] = [
  ['two coordinators', { ...NO_FAULTS, coordinators: 2 }],
  ['re-formed groups', { ...NO_FAULTS, reformsGroup: true, lateShare: 0.2 }],
  [
    'all faults combined',
    {
      ...NO_FAULTS,
      lateShare: 0.3,
      lostShare: 0.05,
      restartsAgents: true,
      reformsGroup: true,
      coordinators: 2,
    },
  ],
  [
    'simultaneous kills of all agents with two coordinators',
    { ...NO_FAULTS, killsAllAgents: true, coordinators: 2 },
  ],
];

for (const [what, faults] of FAULT_CASES)
  test(`under ${what} no step starts with mixed maps, and the group recovers`, () =>
    assertRecovers(faults));

test('without fences late orders mix maps, so the fake engines can detect it', async () => {
  const faults: Faults = {
    ...NO_FAULTS,
    lateShare: 0.4,
    lostShare: 0.1,
    restartsAgents: true,
    coordinators: 2,
  };
  let mixed = 0;
  for (let seed = 1; seed <= 40 && mixed === 0; seed += 1) {
    const { group, stepsAfter } = await simulate(seed, faults, { checksFences: false });
    if (group.mixedSteps.length > 0 || stepsAfter < 180) mixed += 1;
  }
  assert.ok(mixed > 0);
});
