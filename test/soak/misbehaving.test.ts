/**
 * Guards against requests that are refused although they ran, run twice or are ended too soon when endpoints do
 * what a faulty one may do on the wire: surplus answers of any status, late or at once, bytes behind an answer,
 * answers without a length, broken off or without a signature, and slow ranks.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { describe, test } from 'node:test';
import { SCENARIOS, soak } from '../../bench/soak/run.js';

const SECONDS = 6;
const SIZE = { entries: 2, ranks: 3, plain: 3 };
/** What the endpoints of a seed do. */
const SEEDS: readonly (readonly [number, string])[] = [
  [6, 'slow ranks, and answers that break off'],
  [9, 'late second answers, of requests that were served or turned away'],
  [20, 'second answers at once, and answers of other requests'],
];

describe('misbehaving endpoints', { concurrency: SEEDS.length }, () => {
  for (const [seed, behaviour] of SEEDS)
    test(`real programs keep the guarantees with ${behaviour}`, async () => {
      const { violations, folder } = await soak(seed, SECONDS, SIZE, SCENARIOS.misbehaving);
      assert.deepEqual(violations, [], `logs in ${folder}`);
      rmSync(folder, { recursive: true });
    });
});
