import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Askers } from '../../src/group/askers.js';
import { changePauseMs } from '../../src/group/consts.js';
import { gainPerCopy, newPerRound } from '../../src/group/round-policy.js';
import { ENGINE } from '../fixtures/engine.js';

test('a round copies what its time allows, one expert a rank at least', () => {
  assert.equal(newPerRound(ENGINE), 1);
  assert.equal(newPerRound({ ...ENGINE, copyMs: 14 }), 11);
  assert.equal(newPerRound({ ...ENGINE, copyMs: 76 }), 2);
  assert.equal(newPerRound({ ...ENGINE, copyMs: 5000 }), 1);
  assert.equal(newPerRound({ ...ENGINE, copyMs: 0 }), 12);
});

test('a copy must bring more where experts are large, and less where many streams gain by it', () => {
  const usual = gainPerCopy(ENGINE, 48);
  assert.ok(usual > 0.005 && usual < 0.008, `${usual}`);
  assert.ok(gainPerCopy({ ...ENGINE, expertGb: 0.32 }, 96) < usual / 10);
  assert.equal(gainPerCopy(ENGINE, 0), gainPerCopy(ENGINE, 12), 'an idle group');
});

test('only a large group that knows all its members waits longer for the next change', () => {
  assert.equal(changePauseMs(12, true), changePauseMs(63, false));
  assert.ok(changePauseMs(63, true) > changePauseMs(63, false));
});

test('entries count while they ask, and no longer', () => {
  const askers = new Askers();
  askers.note('e-1', 0);
  askers.note('e-2', 1000);
  assert.deepEqual(askers.recent(1200), ['e-1', 'e-2']);
  assert.deepEqual(askers.recent(2000), ['e-2']);
});
