/** What answers ask for, and what is no such thing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readAsks, type AskTexts } from '../../../src/core/backpressure/index.js';

const NOTHING: AskTexts = { rest: undefined, leaving: undefined, limit: undefined };

test('an answer asks for rest in seconds with fractions, says that its endpoint leaves, names a limit', () => {
  assert.equal(readAsks(503, { ...NOTHING, rest: '2.5' }).restMs, 2500);
  assert.equal(readAsks(503, { ...NOTHING, rest: ' 0 ' }).restMs, 0);
  assert.equal(readAsks(200, { ...NOTHING, leaving: '1' }).isLeaving, true);
  assert.equal(readAsks(200, { ...NOTHING, limit: '0.75' }).limitPerS, 0.75);
  assert.deepEqual(readAsks(200, NOTHING), {
    restMs: undefined,
    isLeaving: false,
    limitPerS: undefined,
    unreadable: [],
  });
});

test('only an answer that turns a request away asks for rest', () => {
  assert.equal(readAsks(429, { ...NOTHING, rest: '3' }).restMs, undefined);
  assert.equal(readAsks(200, { ...NOTHING, rest: '3' }).restMs, undefined);
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
  test(`"${text}" is neither a time nor a number of requests, and is named`, () => {
    const asks = readAsks(503, { ...NOTHING, rest: text, limit: text });
    assert.deepEqual(asks.unreadable, ['rest', 'limit']);
    assert.equal(asks.restMs, undefined);
    assert.equal(asks.limitPerS, undefined);
  });

test('a rest of more than an hour is not taken for meant', () => {
  assert.deepEqual(readAsks(503, { ...NOTHING, rest: '3601' }).unreadable, ['rest']);
});

test('any text is read to a number that makes sense, or named', () => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const { restMs, limitPerS, unreadable } = readAsks(503, {
        rest: text,
        leaving: text,
        limit: text,
      });
      assert.ok(restMs === undefined ? unreadable.includes('rest') : restMs >= 0);
      assert.ok(limitPerS === undefined ? unreadable.includes('limit') : limitPerS >= 0);
    }),
  );
});
