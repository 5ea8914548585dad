/** Guards against clients that keep the memory for requests of others by requests that never arrive whole. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PendingMemory, type PendingAccount } from '../../../src/core/buffering/index.js';

const LIMIT_BYTES = 100_000;
const LONG_MS = 5000;

interface TestMemory {
  nowMs: number;
  held: number;
  readonly ended: string[];
  readonly memory: PendingMemory;
  readonly open: (name: string) => PendingAccount;
}

function createMemory(): TestMemory {
  const made: TestMemory = {
    nowMs: 0,
    held: 0,
    ended: [],
    memory: new PendingMemory({
      limitBytes: LIMIT_BYTES,
      nowMs: () => made.nowMs,
      hasRoom: () => true,
      onChange: (bytes) => (made.held += bytes),
    }),
    open: (name) => made.memory.open(() => made.ended.push(name)),
  };
  return made;
}

test('the request that has kept the most for the longest makes room', () => {
  const made = createMemory();
  const { memory, open } = made;
  memory.set(open('small and old'), 1000);
  memory.set(open('large and old'), 40_000);
  made.nowMs = LONG_MS;
  memory.set(open('large and new'), 39_000);
  made.nowMs += 10;
  assert.ok(memory.set(open('next'), 30_000));
  assert.deepEqual(made.ended, ['large and old']);
  assert.equal(made.held, 70_000);
});

test('a request that arrives is not ended before an ordinary one would be complete', () => {
  const made = createMemory();
  const { memory, open } = made;
  memory.set(open('arriving'), 70_000);
  made.nowMs = 500;
  assert.ok(!memory.set(open('next'), 30_000));
  assert.deepEqual(made.ended, []);
});

test('a request that is complete is never ended', () => {
  const made = createMemory();
  const { memory, open } = made;
  const complete = open('complete');
  memory.set(complete, 70_000);
  memory.settle(complete);
  made.nowMs = LONG_MS;
  assert.ok(!memory.set(open('next'), 30_000));
  memory.close(complete);
  assert.ok(memory.set(open('after it'), 30_000));
  assert.deepEqual(made.ended, []);
});

test('small requests are served while large ones are refused', () => {
  const { memory, open } = createMemory();
  memory.set(open('large'), 80_000);
  assert.ok(!memory.set(open('large too'), 17_000));
  assert.ok(memory.set(open('small'), 16_000));
});
