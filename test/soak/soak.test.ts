/** A short seeded soak, and the seeds that ever failed. */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { describe, test } from 'node:test';
import { REGRESSIONS } from '../../bench/soak/regressions.js';
import { soak } from '../../bench/soak/run.js';

/** Seconds of disturbances in CI; by hand it is `npm run soak`. */
const SECONDS = 6;

async function isClean(seed: number): Promise<void> {
  const { violations, asks, answered, longestOwnPauseMs, folder } = await soak(seed, SECONDS);
  const where = `seed ${seed}, own pause ${longestOwnPauseMs} ms, logs in ${folder}`;
  assert.deepEqual(violations, [], where);
  assert.ok(answered > asks / 3, `${answered} of ${asks} answered`);
  rmSync(folder, { recursive: true });
}

// A file has two minutes, and a seed takes 18 s, most of which it waits.
describe('soak', { concurrency: 5 }, () => {
  test('real programs keep the promises under overlapping faults', () => isClean(1));
  for (const { seed, cause } of REGRESSIONS) test(`seed ${seed}: ${cause}`, () => isClean(seed));
});
