/** The queue of returning callers, with stated prospects and in virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  lastChanceShare,
  returningWaitMs,
  WaitQueue,
  type ReturnOutcome,
  type ReturnProspects,
  type SetTimer,
} from '../../../src/core/limits/index.js';

/** A full queue of `slots` slots whose prospects and clock the test sets. */
function fullQueue(slots: number) {
  const state = { nowMs: 0, expected: 100, reserved: 0, isServing: true, share: 0, slots };
  const timers: { atMs: number; run: () => void }[] = [];
  const setTimer: SetTimer = (run, ms) => {
    const timer = { atMs: state.nowMs + ms, run };
    timers.push(timer);
    return () => {
      const index = timers.indexOf(timer);
      if (index >= 0) timers.splice(index, 1);
    };
  };
  const prospects: ReturnProspects = {
    nowMs: () => state.nowMs,
    expectedSlots: () => state.expected,
    slotsPerPlace: () => 1,
    releasesPerS: () => undefined,
    reservedSlots: () => state.reserved,
    isServing: () => state.isServing,
    lastChanceShare: () => state.share,
  };
  const queue = new WaitQueue(() => state.slots, undefined, prospects, setTimer);
  for (let i = 0; i < slots; i += 1) assert.ok(queue.tryAcquire(false));
  const log: string[] = [];
  const passMs = (ms: number): void => {
    const untilMs = state.nowMs + ms;
    for (;;) {
      const next = timers.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
      if (!next) break;
      timers.splice(timers.indexOf(next), 1);
      state.nowMs = next.atMs;
      next.run();
    }
    state.nowMs = untilMs;
  };
  return {
    state,
    queue,
    log,
    passMs,
    returning: (name: string, waitMs = 3000, order = 1) =>
      queue.enterReturning({ order, waitMs }, (outcome: ReturnOutcome) =>
        log.push(`${name} ${outcome}`),
      ),
    firstTry: (name: string, waitMs = 50) =>
      queue.enter(1, waitMs, (granted) => log.push(`${name} ${granted ? 'granted' : 'refused'}`)),
  };
}

test('a returning caller waits for seconds and first tries of the meantime go first', () => {
  const { queue, log, passMs, returning, firstTry } = fullQueue(2);
  returning('returning');
  passMs(1500);
  firstTry('first try');
  queue.release();
  assert.deepEqual(log, ['first try granted']);
  passMs(1000);
  queue.release();
  assert.deepEqual(log, ['first try granted', 'returning granted']);
  assert.equal(queue.queuedReturning, 0);
});

test('a returning caller whose place cannot come up in time is refused at once, not after seconds', () => {
  const { state, log, returning } = fullQueue(2);
  state.expected = 1.5;
  returning('a');
  returning('b');
  assert.deepEqual(log, ['b no-prospect']);
  returning('no time left', 0);
  assert.deepEqual(log, ['b no-prospect', 'no time left no-prospect']);
});

test('waiting callers are refused as soon as their prospects are gone, the last ones first', () => {
  const { state, log, passMs, returning } = fullQueue(2);
  for (const name of ['a', 'b', 'c']) returning(name);
  passMs(300);
  assert.deepEqual(log, []);
  state.expected = 1.2;
  passMs(100);
  assert.deepEqual(log, ['c no-prospect']);
  state.expected = 0;
  passMs(100);
  assert.deepEqual(log, ['c no-prospect', 'a no-prospect', 'b no-prospect']);
  passMs(5000);
  assert.equal(log.length, 3);
});

test('a returning caller is refused at its last moment, also if the clock jumps past it', () => {
  const { state, log, passMs, returning } = fullQueue(1);
  returning('a', 250);
  passMs(300);
  assert.deepEqual(log, ['a too-late']);
  returning('b', 3000);
  state.nowMs += 60_000;
  passMs(100);
  assert.deepEqual(log, ['a too-late', 'b too-late']);
});

test('no slot goes to a waiting returning caller during an outage, and one does after it', () => {
  const { state, queue, log, passMs, returning } = fullQueue(1);
  state.isServing = false;
  returning('a');
  queue.release();
  passMs(500);
  assert.deepEqual(log, []);
  state.isServing = true;
  passMs(100);
  assert.deepEqual(log, ['a granted']);
});

/**
 * Without the reserve a queue of returning callers takes every slot as it comes free: first tries, which wait for 50 ms
 * only, are refused, return, and prolong the queue.
 */
test('waiting returning callers do not take the free slots reserved for first tries', () => {
  const { state, queue, log, returning, firstTry } = fullQueue(4);
  state.reserved = 1;
  returning('a');
  queue.release();
  assert.deepEqual(log, []);
  firstTry('first try');
  assert.deepEqual(log, ['first try granted']);
  queue.release();
  queue.release();
  assert.deepEqual(log, ['first try granted', 'a granted']);
});

test('at its last chance a returning caller goes before first tries, within the share only', () => {
  const { state, queue, log, returning, firstTry } = fullQueue(8);
  state.share = 0.5;
  returning('a', 200);
  returning('b', 200);
  firstTry('1');
  firstTry('2');
  for (let i = 0; i < 4; i += 1) queue.release();
  assert.deepEqual(log, ['1 granted', 'a granted', '2 granted', 'b granted']);
});

test('a first try is passed over only if it is likely to be served on its return', () => {
  assert.equal(lastChanceShare(0.5), 0);
  assert.equal(lastChanceShare(0.8), 0);
  assert.ok(lastChanceShare(0.9) > 0);
  assert.equal(
    lastChanceShare(1, { late: 0.3, refusedAgain: 0.3 }),
    0,
    'late answers worth little',
  );
});

test('a returning caller that disconnects leaves the queue', () => {
  const { queue, log, returning } = fullQueue(1);
  const abandon = returning('a');
  abandon();
  queue.release();
  assert.deepEqual(log, ['a gone']);
  assert.equal(queue.running, 0);
});

test('a first try whose place cannot come up within its wait is refused at once', () => {
  const queue = new WaitQueue(() => 20, undefined, {
    nowMs: () => 0,
    expectedSlots: () => 0,
    slotsPerPlace: () => 1,
    releasesPerS: () => 12,
    reservedSlots: () => 0,
    isServing: () => true,
    lastChanceShare: () => 0,
  });
  for (let i = 0; i < 20; i += 1) queue.tryAcquire(false);
  const results: boolean[] = [];
  const leave = [1, 2, 3].map(() => queue.enter(1, 50, (granted) => results.push(granted)));
  assert.deepEqual(results, [false], 'three slots within 50 ms are most unlikely');
  for (const abandon of leave) abandon();
});

/**
 * Callers give up a stream after two seconds without an event, before its first one too. Those that waited for longer
 * were served after they had left, or left the queue.
 */
test('a returning caller waits no longer than its patience, nor until too late for a long stream', () => {
  const caller = { leftMs: 5400, targetMs: 400, gapMs: 120, longStreamMs: 1600 };
  assert.equal(returningWaitMs(caller), 1600);
  assert.equal(returningWaitMs({ ...caller, targetMs: 1000 }), 3000);
  assert.equal(returningWaitMs({ ...caller, gapMs: 400 }), 2800);
  assert.equal(returningWaitMs({ ...caller, leftMs: 2000 }), 400);
  assert.equal(returningWaitMs({ ...caller, leftMs: 1000 }), 0);
  assert.equal(returningWaitMs({ ...caller, gapMs: undefined }), 3800, 'the answer is no stream');
});

test('whatever happens, slots are never exceeded and each caller is answered exactly once', () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constantFrom('firstTry', 'returning', 'leave', 'release', 'outage') }),
    fc.record({ kind: fc.constant('pass'), ms: fc.integer({ min: 1, max: 800 }) }),
    fc.record({ kind: fc.constant('expect'), slots: fc.integer({ min: 0, max: 5 }) }),
    fc.record({ kind: fc.constant('reserve'), slots: fc.integer({ min: 0, max: 2 }) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const { state, queue, log, passMs, returning, firstTry } = fullQueue(3);
      state.share = 0.2;
      const leave: (() => void)[] = [];
      for (const each of steps) {
        if (each.kind === 'firstTry') leave.push(firstTry(`#${leave.length}`));
        if (each.kind === 'returning') leave.push(returning(`#${leave.length}`, 1600));
        if (each.kind === 'leave') leave[leave.length >> 1]?.();
        if (each.kind === 'release' && queue.running > 0) queue.release();
        if (each.kind === 'outage') state.isServing = !state.isServing;
        if ('ms' in each) passMs(each.ms);
        if (each.kind === 'expect' && 'slots' in each) state.expected = each.slots;
        if (each.kind === 'reserve' && 'slots' in each) state.reserved = each.slots;
        assert.ok(queue.running <= 3);
      }
      passMs(5000);
      assert.equal(queue.queued, 0, 'nobody waits for longer than its wait');
      const answered = log.map((line) => line.split(' ')[0]);
      assert.equal(new Set(answered).size, answered.length);
      assert.equal(answered.length, leave.length);
    }),
  );
});
