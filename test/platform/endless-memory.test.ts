/** Guards against a process whose memory grows with a response without end, sent by another process. */
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { describe, test } from 'node:test';
import { ENDLESS_MODES, startEndlessServer } from '../../fakes/endless/index.js';
import type { ReaderCall, ReaderReport } from '../fixtures/endless-reader.js';

const READER = join(import.meta.dirname, '../fixtures/endless-reader.js');
/** By how much the resident memory may grow over its state before the calls, MB. */
const MAX_GROWTH_MB = 16;
/** Calls before the measurement, until code is compiled and the heap has the size of a running process. */
const WARM_UP_CALLS = 3000;
/** Calls in a row; the response of a store is larger, and its reader pauses after a failed call. */
const CALLS: Readonly<Record<ReaderCall, number>> = { report: 5, rpc: 5, store: 4 };

const SOUND: Readonly<Record<ReaderCall, string>> = {
  report: '{"group":{"name":"g","epoch":3,"rank":1,"state":"open"},"pace":1,"step":7,"map":0}',
  store: `{"key":"op/config","value":"${Buffer.from('{}').toString('base64')}","as-of":3}`,
  rpc: '{"result":{"data":{"instance":"entry-1"}}}',
};

const CONCURRENCY = 3;

function testMemory(call: ReaderCall): void {
  for (const mode of ENDLESS_MODES) {
    test(`${CALLS[call]} calls (${call}) that get a response without end (${mode}) do not grow the process`, async () => {
      const server = await startEndlessServer();
      const reader = fork(READER);
      const makeCalls = async (times: number): Promise<ReaderReport> => {
        reader.send({ call, origin: server.origin, times });
        return ((await once(reader, 'message')) as [ReaderReport])[0];
      };
      try {
        await server.set({ sound: SOUND[call] });
        assert.equal((await makeCalls(WARM_UP_CALLS)).failures, 0);
        await server.set({ mode, pace: 'fast' });
        const after = await makeCalls(CALLS[call]);
        assert.equal(after.failures, CALLS[call]);
        const growthMb = Math.round(after.peakMb - after.beforeMb);
        assert.ok(growthMb <= MAX_GROWTH_MB, `grew by ${growthMb} MB`);
      } finally {
        reader.kill();
        server.close();
      }
    });
  }
}

for (const call of ['report', 'store', 'rpc'] as const)
  describe(`memory of ${call} calls`, { concurrency: CONCURRENCY }, () => testMemory(call));
