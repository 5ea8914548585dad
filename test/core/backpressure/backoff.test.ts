/** When an endpoint that asked for rest may be asked again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Backoff } from '../../../src/core/backpressure/index.js';

const noSpread = (): number => 0;
const isOpen = (rest: Backoff, nowMs: number): boolean => rest.opensAtMs(nowMs) <= nowMs;

test('nothing goes there within the rest, and then one at a time until one is answered well', () => {
  const rest = new Backoff();
  assert.ok(isOpen(rest, 0));
  rest.note(3000, 0, noSpread);
  assert.equal(rest.opensAtMs(1000), 3000);
  assert.ok(isOpen(rest, 3000));
  rest.noteSent(3000);
  assert.ok(!isOpen(rest, 3001));
  rest.noteEnded(3000);
  assert.ok(isOpen(rest, 3050));
  rest.noteSent(3050);
  rest.noteGood(3050);
  assert.ok(isOpen(rest, 3051));
});

test('the longest rest counts, and a good answer that was on its way ends none', () => {
  const rest = new Backoff();
  rest.note(3000, 0, noSpread);
  rest.note(500, 100, noSpread);
  rest.noteGood(-20);
  assert.equal(rest.opensAtMs(200), 3000);
});

test('an end of the request that tries it lets another one try it, the end of any other does not', () => {
  const rest = new Backoff();
  rest.note(1000, 0, noSpread);
  rest.noteSent(1000);
  rest.noteEnded(-5);
  assert.ok(!isOpen(rest, 1100));
});

test('those who were turned away together do not come back in the same moment', () => {
  const opens = Array.from({ length: 40 }, (_, i) => {
    const rest = new Backoff();
    rest.note(3000, 0, () => i / 40);
    return rest.opensAtMs(0);
  });
  assert.ok(Math.min(...opens) >= 3000);
  assert.ok(Math.max(...opens) - Math.min(...opens) > 500);
});

test('whatever comes when, nothing is sent in a rest', () => {
  const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 1500 }),
    answer: fc.constantFrom('good', 'rest', 'late good', 'lost'),
    restMs: fc.integer({ min: 0, max: 4000 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const rest = new Backoff();
      let nowMs = 0;
      let untilMs = 0;
      for (const { afterMs, answer, restMs } of steps) {
        nowMs += afterMs;
        if (answer === 'late good') rest.noteGood(nowMs - 5000);
        if (!isOpen(rest, nowMs)) continue;
        assert.ok(nowMs >= untilMs);
        rest.noteSent(nowMs);
        if (answer === 'good') rest.noteGood(nowMs);
        if (answer === 'rest') {
          rest.note(restMs, nowMs, Math.random);
          untilMs = Math.max(untilMs, nowMs + restMs);
        }
        if (answer !== 'lost') rest.noteEnded(nowMs);
      }
    }),
  );
});
