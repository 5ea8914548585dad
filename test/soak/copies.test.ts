/**
 * Story: the store comes back from an older copy while a route and a key are taken away and an endpoint leaves; daemons that go
 * on from revisions of before hear of none of it, and go on by what is no longer so.
 * Evidence: with the programs of before, one of six seeds of this play, the one below: two requests at an endpoint that had
 * left. Most daemons were saved by reading everything anew from another source after a failure; who met none
 * had it. The cause is told in store-copy.test.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { LEAVING_SIZE, PLAYS, soak } from '../../bench/soak/run.js';

/** Time for three losses, s. */
const SECONDS = 20;
/** Two endpoints leave with each loss. */
const SIZE = { ...LEAVING_SIZE, plain: 12 };

test('real programs keep the promises while the store comes back from copies', async () => {
  const { violations, folder } = await soak(4, SECONDS, SIZE, PLAYS.copies);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
