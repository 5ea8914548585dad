/** The fake rank group distinguishes a hold of its ranks from a pause of its own process. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RankGroup, type GroupTime } from '../../fakes/rank-engine/index.js';

const STEP_MS = 30;

/** Manually advanced time; timers that are due run in order. */
class ManualTime implements GroupTime {
  private atMs = 0;
  private timers: { dueMs: number; run: () => void }[] = [];

  nowMs = (): number => this.atMs;

  after(ms: number, run: () => void): void {
    this.timers.push({ dueMs: this.atMs + ms, run });
  }

  sleep = (ms: number): Promise<void> => new Promise((resolve) => this.after(ms, resolve));

  /** Advances time in one jump, as after a pause of the process. */
  advance(ms: number): void {
    this.atMs += ms;
    const due = this.timers.filter((timer) => timer.dueMs <= this.atMs);
    this.timers = this.timers.filter((timer) => timer.dueMs > this.atMs);
    for (const timer of due) timer.run();
  }
}

function startGroup(): { time: ManualTime; group: RankGroup } {
  const time = new ManualTime();
  const group = new RankGroup(time, () => 0.5, {
    ranks: 2,
    stepMs: STEP_MS,
    copyMs: 100,
    lateShare: () => 0,
    checksFences: true,
  });
  return { time, group };
}

test('a pause of the own process does not count as a hold of the group', () => {
  const { time, group } = startGroup();
  time.advance(STEP_MS);
  time.advance(4500);
  assert.equal(group.step, 2);
  assert.ok(group.longestHoldMs <= STEP_MS, `${group.longestHoldMs} ms`);
});

test('a hold counts for its whole duration', async () => {
  const { time, group } = startGroup();
  const held = group.calls(0).command({ kind: 'hold', step: 3 }, 1, 1);
  time.advance(STEP_MS);
  assert.equal(await held, 'taken');
  for (let i = 0; i < 21; i += 1) time.advance(STEP_MS);
  assert.equal(group.step, 2);
  assert.equal(group.longestHoldMs, 21 * STEP_MS);
});
