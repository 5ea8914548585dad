import assert from 'node:assert/strict';
import { test } from 'node:test';
import { summarizeRanks } from '../../../src/core/routing/index.js';

test('a summary of ranks counts them by load, and tells the largest load and the slow ones', () => {
  const counted = [4, 1, 4, 10, 0].map((load, i) => ({ load, pace: i === 3 ? 12 : 1 }));
  assert.deepEqual(summarizeRanks(counted), {
    ranks: 5,
    mean: 3.8,
    max: 10,
    slow: 1,
    byLoad: '1x0 1x1 2x4 1x10',
  });
  assert.deepEqual(summarizeRanks([]), { ranks: 0, mean: 0, max: 0, slow: 0, byLoad: '' });
});
