/** Guards against connections whose bytes are slow to parse keeping the event loop from all others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { MAX_TURN_MS } from '../../../src/runtime/connections/consts.js';
import { ParseQueue, type Parsable } from '../../../src/runtime/connections/parse-queue.js';

interface TestQueue {
  nowMs: number;
  readonly queue: ParseQueue;
  readonly order: string[];
  readonly kept: string[];
  /** A connection that takes 1 ms a slice. */
  readonly connection: (name: string, slices: number) => Parsable;
}

function createQueue(): TestQueue {
  const made: TestQueue = {
    nowMs: 0,
    queue: new ParseQueue(() => made.nowMs),
    order: [],
    kept: [],
    connection: (name, slices) => {
      let left = slices;
      const item: Parsable = {
        parseSlice: () => {
          made.order.push(name);
          made.nowMs += 1;
          left -= 1;
          if (left > 0) made.queue.continue(item);
        },
        noteKept: () => void made.kept.push(name),
      };
      return item;
    },
  };
  return made;
}

test('a connection is parsed at once while the turn has time', () => {
  const { queue, order, connection } = createQueue();
  queue.start(connection('a', 1));
  assert.deepEqual(order, ['a']);
});

test('a turn of the event loop parses for a limited time, however many connections have bytes', async () => {
  const { queue, order, connection, kept } = createQueue();
  for (let i = 0; i < 3 * MAX_TURN_MS; i += 1) queue.start(connection(`c-${i}`, 1));
  assert.equal(order.length, MAX_TURN_MS);
  await nextTurn();
  assert.equal(order.length, 2 * MAX_TURN_MS);
  assert.equal(kept.length, MAX_TURN_MS, 'what waits for another turn is counted');
  await nextTurn();
  assert.equal(order.length, 3 * MAX_TURN_MS);
});

test('a connection with few bytes is parsed before the rest of those with many', async () => {
  const { queue, order, connection } = createQueue();
  for (let i = 0; i < MAX_TURN_MS; i += 1) queue.start(connection(`many-${i}`, 100));
  queue.start(connection('few', 1));
  assert.ok(!order.includes('few'));
  await nextTurn();
  assert.equal(order[MAX_TURN_MS], 'few');
});

test('a connection that has closed is not parsed', async () => {
  const { queue, order, connection } = createQueue();
  for (let i = 0; i < MAX_TURN_MS; i += 1) queue.start(connection('busy', 1));
  const closed = connection('closed', 1);
  queue.start(closed);
  queue.remove(closed);
  await nextTurn();
  assert.ok(!order.includes('closed'));
});
