import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startCoordinators, type CoordinatorSimulation } from './coordinator-simulation.js';

/** Starts a coordinator on each of the first agents of a small group. */
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

test('a skewed group gets new maps without delaying its steps', async () => {
  const simulation = start(1, 1);
  await simulation.time.runUntil(20_000);
  assert.ok(simulation.metrics.value('switch_rounds_total', { end: 'switched' }) >= 1);
  assert.ok((simulation.group.maps()[0] ?? 0) > 0);
  assert.deepEqual(simulation.group.mixedSteps, []);
  assert.ok(
    simulation.group.longestHoldMs <= 80,
    `${simulation.group.longestHoldMs} ms between two steps`,
  );
});

test('a group held by a frozen agent is released within 1.5 s', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = start(seed, 1);
    // Freeze a rank's agent while an arm order is in transit.
    while (!simulation.orders.some((order) => order.kind === 'arm'))
      await simulation.time.runUntil(simulation.time.nowMs() + 1);
    await simulation.time.runUntil(simulation.time.nowMs() + seed);
    simulation.frozen.add(2);
    await simulation.time.runUntil(simulation.time.nowMs() + 5000);
    assert.ok(
      simulation.group.longestHoldMs < 1500,
      `seed ${seed}: ${simulation.group.longestHoldMs} ms`,
    );
    assert.deepEqual(simulation.group.mixedSteps, [], `seed ${seed}`);
    // What the agent does after it resumes must have no effect.
    simulation.frozen.clear();
    const { step } = simulation.group;
    await simulation.time.runUntil(simulation.time.nowMs() + 5000);
    assert.deepEqual(simulation.group.mixedSteps, [], `seed ${seed}`);
    assert.ok(
      simulation.group.step > step + 80,
      `seed ${seed}: ${simulation.group.step - step} steps`,
    );
  }
});

test('a coordinator that freezes during a switch delays each step by less than 2 s', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = start(seed, 2);
    while (!simulation.orders.some((order) => order.kind === 'arm'))
      await simulation.time.runUntil(simulation.time.nowMs() + 3);
    await simulation.time.runUntil(simulation.time.nowMs() + seed);
    simulation.frozen.add(0);
    await simulation.time.runUntil(simulation.time.nowMs() + 5000);
    assert.ok(
      simulation.group.longestHoldMs < 2000,
      `seed ${seed}: ${simulation.group.longestHoldMs} ms`,
    );
    assert.deepEqual(simulation.group.mixedSteps, [], `seed ${seed}`);
  }
});
