/** Guards against one endpoint that floods its connections taking the event loop from all others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { ReadAllowance } from '../../src/runtime/read-allowance.js';

const CHUNK_BYTES = 64 * 1024;
const SOCKETS = 100;
const RATE = { burstBytes: 1024 * 1024, bytesPerMs: 64 * 1024 };
const READS_AT_ONCE = RATE.burstBytes / CHUNK_BYTES;

interface Flood {
  readonly allowance: ReadAllowance;
  /** Sockets that were read, in order. */
  readonly read: number[];
  readonly clock: { nowMs: number };
}

/** Each socket has just read a whole chunk, and reads again. */
function flood(): Flood {
  const clock = { nowMs: 0 };
  const allowance = new ReadAllowance(() => clock.nowMs, RATE);
  const state: Flood = { allowance, read: [], clock };
  for (let i = 0; i < SOCKETS; i += 1)
    state.allowance.run(CHUNK_BYTES, () => void state.read.push(i));
  return state;
}

const inOrder = (count: number): number[] => Array.from({ length: count }, (_, i) => i);

test('a flood on many connections is read only up to the burst of its endpoint', async () => {
  const { read } = flood();
  await wait(20);
  assert.deepEqual(read, inOrder(READS_AT_ONCE));
});

test('waiting reads go on in order at the rate of their endpoint', async () => {
  const state = flood();
  const passedMs = 10;
  state.clock.nowMs = passedMs;
  const due = READS_AT_ONCE + Math.ceil((passedMs * RATE.bytesPerMs) / CHUNK_BYTES);
  while (state.read.length < due) await wait(1);
  await wait(20);
  assert.deepEqual(state.read, inOrder(due));
});

test('every read is made in the end, and those of small responses at once', async () => {
  const state = flood();
  while (state.read.length < SOCKETS) {
    state.clock.nowMs += 1;
    await wait(1);
  }
  let reads = 0;
  state.clock.nowMs += 1000;
  for (let i = 0; i < 1000; i += 1) state.allowance.run(500, () => void (reads += 1));
  assert.equal(reads, 1000);
});

test('a read that was taken back is neither made nor charged', async () => {
  const state = flood();
  let isRead = false;
  const cancel = state.allowance.run(CHUNK_BYTES, () => (isRead = true));
  cancel();
  while (state.read.length < SOCKETS) {
    state.clock.nowMs += 1;
    await wait(1);
  }
  await wait(20);
  assert.ok(!isRead);
});
