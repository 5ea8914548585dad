import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Clock } from '../../src/core/clock/index.js';
import type { GroupSize } from '../../src/gateway/group-sight.js';
import { Turns } from '../../src/gateway/turns.js';
import { ENGINE } from '../fixtures/engine.js';

/** Time that passes by 10 ms with each look at it: a busy machine changes nothing. */
class StepClock implements Clock {
  private atMs = 0;

  nowMs = (): number => (this.atMs += 10);
  wallMs = (): number => this.atMs;

  jump(ms: number): void {
    this.atMs += ms;
  }
}

const clock = new StepClock();

function turnsOf(size: () => GroupSize | undefined): Turns {
  return new Turns({
    clock,
    engine: () => ENGINE,
    size,
  });
}

/** Failures in a row that make an outage. */
function breakDown(turns: Turns): void {
  turns.outage.noteBad(clock.nowMs());
  clock.jump(250);
  for (let i = 0; i < 4; i += 1) turns.outage.noteBad(clock.nowMs());
  assert.equal(turns.outage.refuses(clock.nowMs()), false, 'the first one is a probe');
}

test('places follow what was seen of the group last, and are few before anything was seen', () => {
  let size: GroupSize | undefined;
  const turns = turnsOf(() => size);
  assert.equal(turns.places, 6);
  size = { ranks: 12, running: 0, entries: 3, countedAtMs: 0 };
  assert.equal(turns.places, 18, 'a third of 36, and of half of what is free');
  size = { ranks: 12, running: 80, entries: 3, countedAtMs: 0 };
  const few = turns.places;
  assert.ok(few < 6);
  // Entries that all took six of a group that is full and unseen would run it over.
  size = undefined;
  assert.equal(turns.places, few);
});

test('a group that is seen whole ends an outage, but not one that has just begun', () => {
  const turns = turnsOf(() => undefined);
  breakDown(turns);
  turns.noteSeen();
  assert.equal(turns.outage.isOut(clock.nowMs()), true, 'what was seen may be of the time before');
  clock.jump(1000);
  turns.noteSeen();
  assert.equal(turns.outage.isOut(clock.nowMs()), false);
});

test('a look from before an outage does not end it, however late it is told', () => {
  let countedAtMs = clock.nowMs();
  const turns = turnsOf(() => ({ ranks: 12, running: 0, entries: 3, countedAtMs }));
  breakDown(turns);
  clock.jump(1500);
  turns.noteSeen();
  assert.equal(turns.outage.isOut(clock.nowMs()), true);
  countedAtMs = clock.nowMs();
  turns.noteSeen();
  assert.equal(turns.outage.isOut(clock.nowMs()), false);
});
