/** Parsing of backpressure signals, valid and invalid. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseSignals, type SignalTexts } from '../../../src/core/backpressure/index.js';

const NOTHING: SignalTexts = { rest: undefined, leaving: undefined, limit: undefined };

test('an answer may request a backoff in seconds with fractions, announce leaving, and name a limit', () => {
  assert.equal(parseSignals(503, { ...NOTHING, rest: '2.5' }).backoffMs, 2500);
  assert.equal(parseSignals(503, { ...NOTHING, rest: ' 0 ' }).backoffMs, 0);
  assert.equal(parseSignals(200, { ...NOTHING, leaving: '1' }).isLeaving, true);
  assert.equal(parseSignals(200, { ...NOTHING, limit: '0.75' }).limitPerS, 0.75);
  assert.deepEqual(parseSignals(200, NOTHING), {
    backoffMs: undefined,
    isLeaving: false,
    limitPerS: undefined,
    unreadable: [],
  });
});

test('only a 503 requests a backoff', () => {
  assert.equal(parseSignals(429, { ...NOTHING, rest: '3' }).backoffMs, undefined);
  assert.equal(parseSignals(200, { ...NOTHING, rest: '3' }).backoffMs, undefined);
});

for (const text of [
  '',
  '-1',
  'NaN',
  'Infinity',
  '1e3',
  '3s',
  '1,5',
  'Thu, 03 Dec 2026 07:00:00 GMT',
])
  test(`"${text}" is neither a duration nor a rate, and is reported as unreadable`, () => {
    const signals = parseSignals(503, { ...NOTHING, rest: text, limit: text });
    assert.deepEqual(signals.unreadable, ['rest', 'limit']);
    assert.equal(signals.backoffMs, undefined);
    assert.equal(signals.limitPerS, undefined);
  });

test('a backoff of more than an hour is unreadable', () => {
  assert.deepEqual(parseSignals(503, { ...NOTHING, rest: '3601' }).unreadable, ['rest']);
});

test('any text is parsed to a valid number or reported as unreadable', () => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const {
        backoffMs: restMs,
        limitPerS,
        unreadable,
      } = parseSignals(503, {
        rest: text,
        leaving: text,
        limit: text,
      });
      assert.ok(restMs === undefined ? unreadable.includes('rest') : restMs >= 0);
      assert.ok(limitPerS === undefined ? unreadable.includes('limit') : limitPerS >= 0);
    }),
  );
});
