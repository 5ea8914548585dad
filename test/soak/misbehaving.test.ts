/**
 * Guards against requests that are refused although they ran, run twice or are ended too soon when endpoints do
 * what a faulty one may do on the wire: surplus answers of any status, late or at once, bytes behind an answer,
 * answers without a length, without an end, broken off or without a signature, and slow ranks; rejections of any status, requests
 * and connections that are dropped, and silence.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { describe, test } from 'node:test';
import { SCENARIOS, soak, type Scenario } from '../../bench/soak/run.js';

const SECONDS = 6;
const SIZE = { entries: 2, ranks: 3, plain: 3 };
/** Seeds, and what the endpoints do in each. */
type Seeds = readonly (readonly [number, string])[];
const MISBEHAVING: Seeds = [
  [6, 'slow ranks, and answers that break off'],
  [9, 'late second answers, of requests that were served or turned away'],
  [20, 'second answers at once, and answers of other requests'],
];
/** The record of one service under load. */
const OVERLOAD = { entries: 4, ranks: 0, plain: 3, callers: 80 };
const OVERLOAD_SECONDS = 5;
const OVERLOAD_SEED = 9501;

const REJECTING: Seeds = [
  [5, 'rejections of status 429 and 421, and few connections'],
  [20, 'dropped requests and connections, and silence'],
  [27, 'bytes that are no answer, and few connections'],
];

function play(seeds: Seeds, scenario: Scenario): void {
  for (const [seed, behaviour] of seeds)
    test(`real programs keep the guarantees with ${behaviour}`, async () => {
      const { violations, folder } = await soak(seed, SECONDS, SIZE, scenario);
      assert.deepEqual(violations, [], `logs in ${folder}`);
      rmSync(folder, { recursive: true });
    });
}

const ENDLESS: Seeds = [
  [20, 'events and trailers without end'],
  [27, 'rejections without end beside late second answers'],
];

describe('misbehaving endpoints', { concurrency: MISBEHAVING.length }, () =>
  play(MISBEHAVING, SCENARIOS.misbehaving),
);
describe('endless responses', { concurrency: ENDLESS.length }, () =>
  play(ENDLESS, SCENARIOS.endless),
);
describe('rejecting endpoints', { concurrency: REJECTING.length + 1 }, () => {
  play(REJECTING, SCENARIOS.rejecting);
  test('an overloaded service runs no request that was refused, while entries are interrupted', async () => {
    const { violations, folder } = await soak(
      OVERLOAD_SEED,
      OVERLOAD_SECONDS,
      OVERLOAD,
      SCENARIOS['overloaded-service'],
    );
    assert.deepEqual(violations, [], `logs in ${folder}`);
    rmSync(folder, { recursive: true });
  });
});
