/** A short seeded soak run, and the seeds that once failed. */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { describe, test } from 'node:test';
import { REGRESSIONS } from '../../bench/soak/regressions.js';
import { soak } from '../../bench/soak/run.js';

/** Seconds of disturbances in CI; `npm run soak` allows longer runs. */
const SECONDS = 6;

async function isClean(seed: number): Promise<void> {
  const { violations, requests, answered, longestStallMs, folder } = await soak(seed, SECONDS);
  const where = `seed ${seed}, own pause ${longestStallMs} ms, logs in ${folder}`;
  assert.deepEqual(violations, [], where);
  assert.ok(answered > requests / 3, `${answered} of ${requests} answered`);
  rmSync(folder, { recursive: true });
}

// A test file may take two minutes. A seed takes 18 s and mostly waits, so seeds run concurrently.
describe('soak', { concurrency: 5 }, () => {
  test('real programs keep the guarantees under overlapping faults', () => isClean(1));
  for (const { seed, cause } of REGRESSIONS) test(`seed ${seed}: ${cause}`, () => isClean(seed));
});
