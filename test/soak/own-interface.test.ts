/**
 * Guards against requests that are refused although they ran, run twice, or get another response than their own, when
 * daemons that serve the product's own interface are killed, suspended or stopped.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { test } from 'node:test';
import { soakOwnInterface } from '../../bench/soak/own-interface.js';

const SEED = 2;
const SECONDS = 6;
const SIZE = { entries: 2, ranks: 2, plain: 2 };

test('real programs keep the guarantees of the own interface under overlapping requests and faults', async () => {
  const { violations, folder } = await soakOwnInterface(SEED, SECONDS, SIZE);
  assert.deepEqual(violations, [], `logs in ${folder}`);
  rmSync(folder, { recursive: true });
});
