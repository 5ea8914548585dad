import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReturnPlan } from '../../../src/core/retry-schedule/index.js';

const STREAM_MS = 1250;
const SLOTS = 16;

/** A plan of a group that has been full, with few first tries, for a while. */
function usedPlan() {
  const state = { nowMs: 0, slots: SLOTS, taken: SLOTS, downForMs: 0, queued: 0 };
  const plan = new ReturnPlan({ nowMs: () => state.nowMs, slotState: () => state });
  for (let i = 0; i < 20 * SLOTS; i += 1) {
    plan.noteTaken(SLOTS - 1);
    plan.noteTaken(SLOTS);
    if (i % 4 === 0) plan.noteFirstTry(50);
    state.nowMs += STREAM_MS / SLOTS;
  }
  const outage = (lengthMs: number): void => {
    for (let downForMs = 100; downForMs <= lengthMs; downForMs += 100) {
      state.nowMs += 100;
      state.downForMs = downForMs;
      plan.isServing();
    }
    state.downForMs = 0;
    assert.equal(plan.isServing(), true);
  };
  return { state, plan, outage };
}

test('during an outage slots are expected only after its usual end, and none if it lasts longer', () => {
  const { state, plan } = usedPlan();
  assert.ok(plan.expectedSlots(1600) > 5);
  state.downForMs = 1000;
  assert.equal(plan.expectedSlots(4400), 0);
  assert.ok(plan.expectedSlots(5500) > 0);
  state.downForMs = 7500;
  assert.equal(plan.expectedSlots(60_000), 0);
});

test('the expected duration follows the outages seen', () => {
  const { state, plan, outage } = usedPlan();
  for (let i = 0; i < 4; i += 1) outage(3000);
  state.downForMs = 2000;
  assert.ok(plan.expectedSlots(1600) > 0);
});

/**
 * An entry's slots follow its share of the group's streams, so that it had two of them while its streams were gone; it
 * held two callers, and had room for many when the group was back.
 */
test('the slots of an outage are not taken for those after it', () => {
  const { state, plan } = usedPlan();
  state.downForMs = 5000;
  state.slots = 2;
  state.taken = 0;
  assert.ok(plan.expectedSlots(1600) > 8, String(plan.expectedSlots(1600)));
});

/** A few failures in a row end with the next success; they are no sign that the next loss of a rank is short. */
test('failures of a moment do not shorten the expected duration of an outage', () => {
  const { state, plan, outage } = usedPlan();
  for (let i = 0; i < 10; i += 1) outage(300);
  state.downForMs = 4500;
  assert.ok(plan.expectedSlots(1600) > 0);
});

test('a group that shrinks leaves fewer slots, at once', () => {
  const { state, plan } = usedPlan();
  const before = plan.expectedSlots(1600);
  state.nowMs += 100;
  state.slots = 4;
  assert.ok(plan.expectedSlots(1600) < before / 3);
});

test('nothing is expected before slots were released, nor after the entry has lost its record', () => {
  const plan = new ReturnPlan({
    nowMs: () => 0,
    slotState: () => ({ slots: SLOTS, taken: 0, downForMs: 0, queued: 0 }),
  });
  assert.equal(plan.longStreamMs, undefined);
  assert.equal(plan.expectedSlots(1600), 0);
  const planned = plan.planReturn({ leftMs: 8000, usualMs: () => 1700 }, () => 0.5);
  assert.deepEqual([planned.why, planned.retryAfterMs], ['usual', 1700]);
});
