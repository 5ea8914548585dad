/**
 * Guards against entries that ignore backpressure signals (Retry-After, leaving, rate limits) while
 * entries are killed, suspended and cut off. When entries ignored them, four of four seeds failed: 67
 * backoffs violated, 436 requests sent to leaving endpoints, 4 rate limits exceeded. See backpressure-signals.test
 * for the cause.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { SCENARIOS, soak } from '../../bench/soak/run.js';

const SECONDS = 20;
const SIZE = { entries: 4, ranks: 3, plain: 5 };

test('real programs follow backpressure signals of endpoints', async () => {
  const { violations, folder } = await soak(2, SECONDS, SIZE, SCENARIOS.asking);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
