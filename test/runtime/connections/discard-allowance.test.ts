/** Guards against refused requests being read without end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DISCARD_RATE } from '../../../src/runtime/connections/consts.js';
import { DiscardAllowance } from '../../../src/runtime/connections/discard-allowance.js';

const CHUNK_BYTES = 64 * 1024;

test('all connections together discard a burst, and a limited rate after it', () => {
  let nowMs = 0;
  const allowance = new DiscardAllowance(() => nowMs);
  for (let i = 0; i < DISCARD_RATE.burstBytes / CHUNK_BYTES; i += 1)
    assert.ok(allowance.take(CHUNK_BYTES));
  assert.ok(!allowance.take(1));
  nowMs += CHUNK_BYTES / DISCARD_RATE.bytesPerMs;
  assert.ok(allowance.take(CHUNK_BYTES));
  assert.ok(!allowance.take(1));
});
