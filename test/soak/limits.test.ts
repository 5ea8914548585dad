/**
 * Rate limits of real programs while callers pause and resume, and entries and relays are
 * disturbed.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { SCENARIOS, soak } from '../../bench/soak/run.js';

const SECONDS = 32;
const SIZE = { entries: 5, ranks: 3, plain: 3 };

test('real programs keep rate limits across pauses of callers and restarts of relays', async () => {
  const { violations, folder } = await soak(1, SECONDS, SIZE, SCENARIOS.limits);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
