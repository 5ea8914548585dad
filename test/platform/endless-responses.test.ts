/** Guards against readers of the engine's and the store's responses that have no limit of size or time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connectEngine } from '../../platform/engine-client.js';
import { connectStore } from '../../platform/store-client.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { EngineCalls } from '../../src/group/index.js';
import type { Result } from '../../src/core/result/index.js';
import type { ReadFault } from '../../src/core/published/index.js';
import { ResponseLimitError } from '../../src/runtime/response-limits.js';
import { checkEndless, faultOf, type EndlessCall } from '../fixtures/endless-calls.js';

const REPORT = JSON.stringify({
  group: { name: 'g', epoch: 3, rank: 1, state: 'open' },
  pace: 1,
  step: 7,
  map: 0,
});

function checkLimitError(err: unknown, pace: 'fast' | 'byte'): void {
  assert.ok(err instanceof ResponseLimitError, String(err));
  assert.equal(err.reason, pace === 'fast' ? 'oversized' : 'too-slow');
  assert.match(err.message, /^\S+ of http:\/\/127\.0\.0\.1:\d+: the response .* \d+ /);
}

function engineCall(
  name: string,
  sound: string,
  maxMs: number,
  run: (engine: EngineCalls) => Promise<unknown>,
): EndlessCall {
  return {
    name,
    maxMs,
    sound,
    run: (origin) => faultOf(run(connectEngine(origin, silentLog, new Metrics()))),
    check: checkLimitError,
  };
}

/** The kinds of faults of a store's response without end. */
const STORE_FAULTS = { fast: ['oversized'], byte: ['timeout'] };

function storeCall(
  name: string,
  sound: object,
  run: (store: ReturnType<typeof connectStore>) => Promise<Result<unknown, ReadFault>>,
  maxMs = 800,
): EndlessCall {
  return {
    name,
    maxMs,
    sound: JSON.stringify(sound),
    run: async (origin) => {
      const result = await run(connectStore(origin));
      return result.err ? result.val : undefined;
    },
    check: (err, pace) => assert.ok(STORE_FAULTS[pace].includes((err as ReadFault).kind)),
  };
}

const CONFIG = { version: 1, routes: [], services: [], limits: {}, tenants: [] };
const ITEM = {
  key: 'op/config',
  value: Buffer.from(JSON.stringify(CONFIG)).toString('base64'),
  'as-of': 3,
};

const CALLS: readonly EndlessCall[] = [
  engineCall('report', REPORT, 1000, (engine) => engine.report()),
  engineCall('placement', '{"map":{"experts":[[0]]}}', 1000, (engine) => engine.placed()),
  engineCall('counts', '{"counts":[1]}', 1000, (engine) => engine.picked(1)),
  storeCall('store, a page', { items: [ITEM], 'as-of': 3 }, (store) => store.readAll()),
  storeCall('store, a key', ITEM, (store) => store.readConfig()),
  storeCall('store, a watch', { events: [], 'as-of': 3 }, (store) => store.watch(3, 500), 1300),
];

for (const call of CALLS) {
  for (const pace of ['fast', 'byte'] as const) {
    test(`${call.name}: a response without end, ${pace}, is cut off`, () =>
      checkEndless(call, pace));
  }
}

test('an order that gets a response without end is unanswered, and its connection is closed', async () => {
  const run = async (origin: string): Promise<unknown> => {
    const metrics = new Metrics();
    const engine = connectEngine(origin, silentLog, metrics);
    const result = await engine.command({ kind: 'go', step: 1 }, 1, 1);
    return result === 'taken' ? undefined : result;
  };
  const check = (err: unknown): void => assert.equal(err, 'unanswered');
  const call = { name: 'order', maxMs: 60, sound: '{}', run, check };
  for (const pace of ['fast', 'byte'] as const) await checkEndless(call, pace);
});
