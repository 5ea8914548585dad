/** Rate limits of real programs while callers fall silent and resume, and entries and relays are disturbed. */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { PLAYS, soak } from '../../bench/soak/run.js';

const SECONDS = 32;
const SIZE = { entries: 5, ranks: 3, plain: 3 };

test('real programs keep rate limits through silence of callers and restarts of relays', async () => {
  const { violations, folder } = await soak(1, SECONDS, SIZE, PLAYS.limits);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
