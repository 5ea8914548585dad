/**
 * Guards against daemons that keep outdated state after the store is restored from an older copy
 * while a route and a key are removed and an endpoint leaves: a daemon that continues from an old
 * revision receives none of these changes. It showed in one of six seeds, the one below, as two
 * requests at an endpoint that had left. Most daemons read everything again from another source
 * after a failure; only those that met no failure were affected. See store-copy.test for the cause.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { LEAVING_SIZE, SCENARIOS, soak } from '../../bench/soak/run.js';

/** Duration of three restores, s. */
const SECONDS = 20;
/** Two endpoints leave with each restore. */
const SIZE = { ...LEAVING_SIZE, plain: 12 };

test('real programs keep the guarantees while the store is restored from copies', async () => {
  const { violations, folder } = await soak(4, SECONDS, SIZE, SCENARIOS.copies);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
