/**
 * Story: endpoints ask for rest, say that they leave and name limits in their answers, while entries are killed, paused and cut off.
 * Evidence: with the programs of before four of four seeds failed: 67 rests, 436 requests at endpoints that were leaving, 4 limits. The cause is told in asks.test.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { PLAYS, soak } from '../../bench/soak/run.js';

const SECONDS = 20;
const SIZE = { entries: 4, ranks: 3, plain: 5 };

test('real programs heed what endpoints ask for in their answers', async () => {
  const { violations, folder } = await soak(2, SECONDS, SIZE, PLAYS.asking);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
