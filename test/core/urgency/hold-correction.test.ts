import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HoldCorrection } from '../../../src/core/urgency/index.js';

/** Updates a correction every 25 ms for a time, and returns its factor. */
function after(
  correction: HoldCorrection,
  fromMs: number,
  ms: number,
  utilisation: number,
  isCut: boolean,
): number {
  for (let nowMs = fromMs; nowMs <= fromMs + ms; nowMs += 25)
    correction.update(utilisation, isCut, nowMs);
  return correction.factor;
}

// Streams that stalled held their slots for seconds. The level then refused requests while no stream ran.
test('a class is not refused for long while the group is idle, whatever the holding time', () => {
  const correction = new HoldCorrection();
  assert.ok(after(correction, 0, 2500, 0.05, true) < 0.12);
  assert.ok(after(correction, 2500, 60_000, 0.05, true) >= 0.05, 'and it is bounded');
  assert.ok(after(correction, 62_500, 4000, 0.5, false) > 0.95, 'without a cut it ends');
});

test('a full group that refuses is not corrected', () => {
  assert.equal(after(new HoldCorrection(), 0, 10_000, 1, true), 1);
  assert.equal(after(new HoldCorrection(), 0, 10_000, 0.3, false), 1);
});
