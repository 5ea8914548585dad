/** When requests may be sent to an endpoint that requested a backoff. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Backoff } from '../../../src/core/backpressure/index.js';

const noJitter = (): number => 0;
const isOpen = (backoff: Backoff, nowMs: number): boolean => backoff.opensAtMs(nowMs) <= nowMs;

test('nothing is sent within a backoff, and then single probes until one succeeds', () => {
  const backoff = new Backoff();
  assert.ok(isOpen(backoff, 0));
  backoff.note(3000, 0, noJitter);
  assert.equal(backoff.opensAtMs(1000), 3000);
  assert.ok(isOpen(backoff, 3000));
  backoff.noteSent(3000);
  assert.ok(!isOpen(backoff, 3001));
  backoff.noteEnded(3000);
  assert.ok(isOpen(backoff, 3050));
  backoff.noteSent(3050);
  backoff.noteSuccess(3050);
  assert.ok(isOpen(backoff, 3051));
});

test('the latest end of overlapping backoffs applies, and the answer to an earlier request ends none', () => {
  const backoff = new Backoff();
  backoff.note(3000, 0, noJitter);
  backoff.note(500, 100, noJitter);
  backoff.noteSuccess(-20);
  assert.equal(backoff.opensAtMs(200), 3000);
});

test('the end of the probe allows another probe, the end of any other request does not', () => {
  const backoff = new Backoff();
  backoff.note(1000, 0, noJitter);
  backoff.noteSent(1000);
  backoff.noteEnded(-5);
  assert.ok(!isOpen(backoff, 1100));
});

test('entries refused at the same time do not resume at the same time', () => {
  const opens = Array.from({ length: 40 }, (_, i) => {
    const backoff = new Backoff();
    backoff.note(3000, 0, () => i / 40);
    return backoff.opensAtMs(0);
  });
  assert.ok(Math.min(...opens) >= 3000);
  assert.ok(Math.max(...opens) - Math.min(...opens) > 500);
});

test('nothing is sent within a backoff, in any order of answers', () => {
  const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 1500 }),
    answer: fc.constantFrom('good', 'backoff', 'late good', 'lost'),
    backoffMs: fc.integer({ min: 0, max: 4000 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const backoff = new Backoff();
      let nowMs = 0;
      let untilMs = 0;
      for (const { afterMs, answer, backoffMs } of steps) {
        nowMs += afterMs;
        if (answer === 'late good') backoff.noteSuccess(nowMs - 5000);
        if (!isOpen(backoff, nowMs)) continue;
        assert.ok(nowMs >= untilMs);
        backoff.noteSent(nowMs);
        if (answer === 'good') backoff.noteSuccess(nowMs);
        if (answer === 'backoff') {
          backoff.note(backoffMs, nowMs, Math.random);
          untilMs = Math.max(untilMs, nowMs + backoffMs);
        }
        if (answer !== 'lost') backoff.noteEnded(nowMs);
      }
    }),
  );
});
