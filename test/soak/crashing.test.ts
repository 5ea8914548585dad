/**
 * Story: requests that crash each endpoint that begins to run them come again and again, to any entry.
 * Evidence: with the programs of before both seeds of this play failed: such requests ran 9 to 20 times more after they had
 * crashed three endpoints. The cause is told in crashing-request.test.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { PLAYS, soak } from '../../bench/soak/run.js';

const SECONDS = 10;
const SIZE = { entries: 4, ranks: 3, plain: 6 };

test('real programs end requests that crash endpoints, and no others', async () => {
  const { violations, folder } = await soak(2, SECONDS, SIZE, PLAYS.crashing);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
