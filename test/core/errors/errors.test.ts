import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ERROR_KINDS,
  HarriergladeError,
  isAbortOrTimeout,
  isTimeout,
  notRun,
  toProblem,
  outcomeUnknown,
  type ErrorKind,
  type Reason,
} from '../../../src/core/errors/index.js';

test('every kind has a status, a title, a message and a remedy', () => {
  for (const [reason, row] of Object.entries(ERROR_KINDS) as [Reason, ErrorKind][]) {
    assert.ok(row.status >= 400 && row.status < 600, reason);
    assert.ok(row.title.length > 3 && row.remedy.endsWith('.'), reason);
    assert.equal(typeof row.message('facts'), 'string');
    assert.ok(
      new HarriergladeError(reason, 'Facts.', 'not-run').message.includes(row.remedy),
      reason,
    );
  }
});

test('problem details carry status, outcome and retry time', () => {
  const problem = toProblem(notRun('share-exceeded', 'Too much.', 7));
  assert.deepEqual([problem.status, problem.outcome, problem.retryAfterS], [429, 'not-run', 7]);
  assert.equal(toProblem(outcomeUnknown('answer-lost')).outcome, 'unknown');
});

test('a timeout is recognised through a chain of causes', async () => {
  const signal = AbortSignal.timeout(1);
  await new Promise((done) => signal.addEventListener('abort', done));
  const { reason } = signal as { reason: Error };
  assert.equal(isTimeout(reason), true);
  assert.equal(isTimeout(new Error('the call failed', { cause: reason })), true);
  assert.equal(isTimeout(new Error('reset', { cause: new Error('closed') })), false);
  assert.equal(isTimeout('TimeoutError'), false);
});

test('an aborted call is recognised, whether its signal has a default reason or a timeout', () => {
  const plain = new Error('the call failed', { cause: AbortSignal.abort().reason });
  assert.equal(isAbortOrTimeout(plain), true);
  assert.equal(isTimeout(plain), false);
  assert.equal(isAbortOrTimeout(new DOMException('late', 'TimeoutError')), true);
  assert.equal(isAbortOrTimeout(new Error('reset')), false);
});
