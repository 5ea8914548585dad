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

test('the parts of a prompt are read in order, without their sizes; unreadable ones are left out', () => {
  const partsOf = (value?: string): readonly string[] | undefined =>
    platformHeaders.readPromptParts?.(value === undefined ? {} : { 'x-prompt-prefix': value });
  assert.deepEqual(partsOf('5c1e07a2:800, 91bd3f06:410,e4402b7d:250'), [
    '5c1e07a2',
    '91bd3f06',
    'e4402b7d',
  ]);
  assert.deepEqual(partsOf(',:80,5c1e07a2'), ['5c1e07a2']);
  assert.deepEqual(partsOf(), []);
});
