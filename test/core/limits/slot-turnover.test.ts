import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SlotTurnover } from '../../../src/core/limits/index.js';

/** Each of four slots is taken for `holdMs` and taken again at once; returns the time of the last note. */
function run(turnover: SlotTurnover, fromMs: number, rounds: number, holdMs: number): number {
  let nowMs = fromMs;
  for (let i = 0; i < rounds * 4; i += 1) {
    turnover.note(3, nowMs, true);
    turnover.note(4, nowMs, true);
    nowMs += holdMs / 4;
  }
  return nowMs;
}

test('the hold time of slots is the mean of the last seconds, and unknown before a few releases', () => {
  const turnover = new SlotTurnover();
  for (let taken = 1; taken <= 4; taken += 1) turnover.note(taken, 0, true);
  assert.equal(turnover.holdMs, undefined);
  assert.equal(turnover.perS(16), undefined);
  run(turnover, 0, 20, 1250);
  assert.ok(Math.abs((turnover.holdMs ?? 0) - 1250) < 125, String(turnover.holdMs));
  assert.ok(Math.abs((turnover.perS(16) ?? 0) - 12.8) < 1.3);
});

/**
 * Probes of an outage hold a slot for the milliseconds of a refusal. They made the group look seven times as fast, so that
 * callers were held for slots that never came.
 */
test('refused probes of an outage do not shorten the hold time', () => {
  const turnover = new SlotTurnover();
  for (let taken = 1; taken <= 4; taken += 1) turnover.note(taken, 0, true);
  let nowMs = run(turnover, 0, 20, 1250);
  const before = turnover.holdMs;
  for (let i = 0; i < 40; i += 1) {
    turnover.note(1, nowMs, false);
    turnover.note(0, nowMs + 5, false);
    nowMs += 200;
  }
  assert.equal(turnover.holdMs, before);
  turnover.note(1, nowMs, true);
  const after = turnover.holdMs ?? 0;
  assert.ok(
    Math.abs(after - (before ?? 0)) < 1,
    'the idle time of the outage does not count either',
  );
});
