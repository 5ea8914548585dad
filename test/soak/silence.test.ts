/**
 * Story: on machines of the users' own, requests were run by the service of an older configuration, and reached endpoints
 * that had left, after open connections had fallen silent without a reset.
 * Evidence: real programs before proxies on the users' code: 16 requests with seed 2, one each with 1 and 4
 * (docs/incidents/changes-late-after-connections-fell-silent.md); the cause is told in silent-fleet.test.
 */
import assert from 'node:assert/strict';
import { rmSync } from 'node:fs';
import { describe, test } from 'node:test';
import { LEAVING_SIZE, PLAYS, soak, type Play } from '../../bench/soak/run.js';

/** Time for two silences, s. */
const SECONDS = 10;

async function isClean(seed: number, play: Play): Promise<void> {
  const { violations, folder } = await soak(seed, SECONDS, LEAVING_SIZE, play);
  assert.deepEqual(violations, [], `seed ${seed}, logs in ${folder}`);
  rmSync(folder, { recursive: true });
}

describe('silence', { concurrency: 2 }, () => {
  test('what changes as connections fall silent is in force in time', () =>
    isClean(2, PLAYS.silence));
  test('also where the entries that others hear from stand still', () =>
    isClean(11, PLAYS['silence-without-relays']));
});
