import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startCoordinators, type CoordinatorSimulation } from './coordinator-simulation.js';

/** A coordinator on each of the first agents of a small group. */
function start(seed: number, coordinators: number): CoordinatorSimulation {
  return startCoordinators({
    seed,
    coordinators,
    ranks: 3,
    stepMs: 40,
    copyMs: 100,
    lateShare: 0,
    usesElection: false,
  });
}

test('a skewed group gets new maps, and its steps never wait', async () => {
  const simulation = start(1, 1);
  await simulation.time.playUntil(20_000);
  assert.ok(simulation.metrics.value('switch_rounds_total', { end: 'switched' }) >= 1);
  assert.ok((simulation.group.maps()[0] ?? 0) > 0);
  assert.deepEqual(simulation.group.mixed, []);
  assert.ok(
    simulation.group.longestHoldMs <= 80,
    `${simulation.group.longestHoldMs} ms between two steps`,
  );
});

test('an agent that freezes while its rank holds the group is acted for within 1.5 s', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = start(seed, 1);
    // Freeze a rank's agent the moment an arm order is on its way.
    while (!simulation.orders.some((order) => order.kind === 'arm'))
      await simulation.time.playUntil(simulation.time.nowMs() + 1);
    await simulation.time.playUntil(simulation.time.nowMs() + seed);
    simulation.frozen.add(2);
    await simulation.time.playUntil(simulation.time.nowMs() + 5000);
    assert.ok(
      simulation.group.longestHoldMs < 1500,
      `seed ${seed}: ${simulation.group.longestHoldMs} ms`,
    );
    assert.deepEqual(simulation.group.mixed, [], `seed ${seed}`);
    // What it does when it wakes no longer counts.
    simulation.frozen.clear();
    const { step } = simulation.group;
    await simulation.time.playUntil(simulation.time.nowMs() + 5000);
    assert.deepEqual(simulation.group.mixed, [], `seed ${seed}`);
    assert.ok(
      simulation.group.step > step + 80,
      `seed ${seed}: ${simulation.group.step - step} steps`,
    );
  }
});

test('a coordinator that freezes in a switch leaves no step waiting for long', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = start(seed, 2);
    while (!simulation.orders.some((order) => order.kind === 'arm'))
      await simulation.time.playUntil(simulation.time.nowMs() + 3);
    await simulation.time.playUntil(simulation.time.nowMs() + seed);
    simulation.frozen.add(0);
    await simulation.time.playUntil(simulation.time.nowMs() + 5000);
    assert.ok(
      simulation.group.longestHoldMs < 2000,
      `seed ${seed}: ${simulation.group.longestHoldMs} ms`,
    );
    assert.deepEqual(simulation.group.mixed, [], `seed ${seed}`);
  }
});
