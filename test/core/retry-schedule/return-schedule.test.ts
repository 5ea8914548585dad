import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { ReturnSchedule, type RoomForecast } from '../../../src/core/retry-schedule/index.js';

const random = seededRandom(1);
const caller = { leftMs: 7900, usualMs: () => 1234 };
const MAX_MS = caller.leftMs / 3;

/** A full group of 16 slots, with a useful forecast of 18 first tries a second until `dropMs` and 5 after. */
function roomAfter(dropMs: number, change: Partial<RoomForecast> = {}): RoomForecast {
  return {
    nowMs: 10_000,
    forecast: { isUseful: true, errorPerS: 3 },
    firstTriesPerS: (aheadMs) => (aheadMs < dropMs ? 18 : 5),
    holdMs: 1250,
    slots: 16,
    free: 0,
    reserved: 2,
    queued: 0,
    ...change,
  };
}

test('a refused caller returns when first tries are expected to leave room, not at the top of the wave', () => {
  const { why, retryAfterMs, room } = new ReturnSchedule().plan(caller, roomAfter(1500), random);
  assert.equal(why, 'room');
  assert.ok(retryAfterMs >= 1500 && retryAfterMs <= 2500, String(retryAfterMs));
  assert.ok(room >= 1);
});

test('without a useful forecast, or before slots were released, the usual range holds', () => {
  const unknown = [
    { forecast: { isUseful: false, errorPerS: undefined } },
    { holdMs: undefined },
  ] as const;
  for (const change of unknown) {
    const planned = new ReturnSchedule().plan(caller, roomAfter(1500, change), random);
    assert.equal(planned.why, 'usual');
    assert.equal(planned.retryAfterMs, 1234);
  }
});

test('if no room is expected within its time, a caller gets the latest useful time, spread', () => {
  const schedule = new ReturnSchedule();
  const times = Array.from({ length: 20 }, () => schedule.plan(caller, roomAfter(9000), random));
  for (const { why, retryAfterMs } of times) {
    assert.equal(why, 'latest');
    assert.ok(retryAfterMs <= MAX_MS && retryAfterMs > MAX_MS - 401, String(retryAfterMs));
  }
  assert.ok(new Set(times.map(({ retryAfterMs }) => retryAfterMs)).size > 15);
});

test('promised returns and callers that wait count against the room', () => {
  const schedule = new ReturnSchedule();
  const planned = Array.from({ length: 12 }, () => schedule.plan(caller, roomAfter(500), random));
  const first = planned.slice(0, 3).reduce((sum, { retryAfterMs }) => sum + retryAfterMs, 0);
  const last = planned.slice(-3).reduce((sum, { retryAfterMs }) => sum + retryAfterMs, 0);
  assert.ok(last > first + 1500, `${first} ${last}`);
  assert.equal(schedule.outstanding, 12);
  const queued = new ReturnSchedule().plan(caller, roomAfter(500, { queued: 40 }), random);
  assert.equal(queued.why, 'latest');
});

test('a caller waits for a third of its time at most, and one with little time gets the usual range', () => {
  const short = { leftMs: 1200, usualMs: () => 1000 };
  assert.equal(new ReturnSchedule().plan(short, roomAfter(0), random).why, 'usual');
  for (let i = 0; i < 50; i += 1) {
    const planned = new ReturnSchedule().plan(caller, roomAfter(2500), random);
    assert.ok(planned.retryAfterMs <= MAX_MS);
  }
});

test('promises are kept by returns when they are due, and lapse otherwise, also after a clock jump', () => {
  const schedule = new ReturnSchedule();
  const room = roomAfter(9000);
  for (let i = 0; i < 3; i += 1) schedule.plan(caller, room, random);
  schedule.noteReturn(room.nowMs + 20);
  assert.deepEqual([schedule.kept, schedule.lapsed, schedule.outstanding], [0, 0, 3], 'too early');
  schedule.noteReturn(room.nowMs + 2500);
  assert.deepEqual([schedule.kept, schedule.lapsed, schedule.outstanding], [1, 0, 2]);
  schedule.noteReturn(room.nowMs + 3_600_000);
  assert.deepEqual([schedule.kept, schedule.lapsed, schedule.outstanding], [1, 2, 0]);
});
