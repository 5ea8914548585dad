import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ActiveEntries } from '../../src/group/active-entries.js';
import { changePauseMs } from '../../src/group/consts.js';
import { minGainPerCopy, maxNewPerRound } from '../../src/group/round-policy.js';
import { ENGINE_INFO } from '../fixtures/engine.js';

test('a round copies what its time budget allows, at least one expert per rank', () => {
  assert.equal(maxNewPerRound(ENGINE_INFO), 1);
  assert.equal(maxNewPerRound({ ...ENGINE_INFO, copyMs: 14 }), 11);
  assert.equal(maxNewPerRound({ ...ENGINE_INFO, copyMs: 76 }), 2);
  assert.equal(maxNewPerRound({ ...ENGINE_INFO, copyMs: 5000 }), 1);
  assert.equal(maxNewPerRound({ ...ENGINE_INFO, copyMs: 0 }), 12);
});

test('the minimum gain of a copy rises with expert size and falls with the number of streams', () => {
  const usual = minGainPerCopy(ENGINE_INFO, 48);
  assert.ok(usual > 0.005 && usual < 0.008, `${usual}`);
  assert.ok(minGainPerCopy({ ...ENGINE_INFO, expertGb: 0.32 }, 96) < usual / 10);
  assert.equal(minGainPerCopy(ENGINE_INFO, 0), minGainPerCopy(ENGINE_INFO, 12), 'an idle group');
});

test('only a large, complete group pauses longer after a list change', () => {
  assert.equal(changePauseMs(12, true), changePauseMs(63, false));
  assert.ok(changePauseMs(63, true) > changePauseMs(63, false));
});

test('an entry stops counting as active after its last request expires', () => {
  const activeEntries = new ActiveEntries();
  activeEntries.record('e-1', 0);
  activeEntries.record('e-2', 1000);
  assert.deepEqual(activeEntries.recent(1200), ['e-1', 'e-2']);
  assert.deepEqual(activeEntries.recent(2000), ['e-2']);
});
