import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '../../../src/core/clock/index.js';
import type { GroupLoad } from '../../../src/gateway/groups/group-status.js';
import { SlotQueue } from '../../../src/gateway/groups/slot-queue.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';

/** Clock that advances by 10 ms per read, so that machine load has no effect. */
class StepClock implements Clock {
  private atMs = 0;

  nowMs = (): number => (this.atMs += 10);
  wallMs = (): number => this.atMs;

  jump(ms: number): void {
    this.atMs += ms;
  }
}

const clock = new StepClock();

function slotQueueOf(size: () => GroupLoad | undefined): SlotQueue {
  return new SlotQueue({
    clock,
    engine: () => ENGINE_INFO,
    size,
  });
}

/** Records enough failures in a row to start an outage. */
function startOutage(queue: SlotQueue): void {
  queue.outage.noteFailure(clock.nowMs());
  clock.jump(250);
  for (let i = 0; i < 4; i += 1) queue.outage.noteFailure(clock.nowMs());
  assert.equal(
    queue.outage.shouldRefuse(clock.nowMs()),
    false,
    'the first request after the failures is a probe',
  );
}

test('slots follow the last known load of the group, and are few before the first poll', () => {
  let size: GroupLoad | undefined;
  const queue = slotQueueOf(() => size);
  assert.equal(queue.slots, 6);
  size = { ranks: 12, running: 0, entries: 3, countedAtMs: 0 };
  assert.equal(queue.slots, 18, 'a third of 36, and of half of what is free');
  size = { ranks: 12, running: 80, entries: 3, countedAtMs: 0 };
  const few = queue.slots;
  assert.ok(few < 6);
  // If every entry took the default six slots of a full group with unknown load, they would overload it.
  size = undefined;
  assert.equal(queue.slots, few);
});

test('a poll of the complete group ends an outage, but not one that has just begun', () => {
  const queue = slotQueueOf(() => undefined);
  startOutage(queue);
  queue.noteCompletePoll();
  assert.equal(queue.outage.isDown(clock.nowMs()), true, 'the poll may predate the outage');
  clock.jump(1000);
  queue.noteCompletePoll();
  assert.equal(queue.outage.isDown(clock.nowMs()), false);
});

test('a poll from before an outage does not end it, however late it arrives', () => {
  let countedAtMs = clock.nowMs();
  const queue = slotQueueOf(() => ({ ranks: 12, running: 0, entries: 3, countedAtMs }));
  startOutage(queue);
  clock.jump(1500);
  queue.noteCompletePoll();
  assert.equal(queue.outage.isDown(clock.nowMs()), true);
  countedAtMs = clock.nowMs();
  queue.noteCompletePoll();
  assert.equal(queue.outage.isDown(clock.nowMs()), false);
});
