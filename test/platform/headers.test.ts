import assert from 'node:assert/strict';
import { test } from 'node:test';
import { platformHeaders } from '../../platform/headers.js';

function tokensOf(headers: Record<string, string>): unknown[] {
  const head = platformHeaders.readRequest(headers);
  return [head.promptTokens, head.maxOutputTokens, head.expectedOutputTokens];
}

test('sizes of a request to a model engine are read from its headers; unreadable ones count as absent', () => {
  const counted = { 'x-token-count': '1460,80', 'x-length-hint': '64' };
  assert.deepEqual(tokensOf(counted), [1460, 80, 64]);
  assert.deepEqual(tokensOf({ 'x-token-count': '1460' }), [1460, undefined, undefined]);
  assert.deepEqual(tokensOf({}), [undefined, undefined, undefined]);
  for (const count of ['-3,80', '1460,', '1e3,80', '1460,80,1', ''])
    assert.deepEqual(tokensOf({ 'x-token-count': count, 'x-length-hint': 'many' }), [
      undefined,
      undefined,
      undefined,
    ]);
});
