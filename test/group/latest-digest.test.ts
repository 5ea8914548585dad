import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GroupDigest } from '../../src/generated/messages.types.js';
import { LatestDigest } from '../../src/group/latest-digest.js';
import { groupDigest } from '../fixtures/engine.js';

const digest = (running: number, ageMs: number): GroupDigest => groupDigest({ running, ageMs });

test('a stored digest ages, and an older one does not replace it', () => {
  let nowMs = 5000;
  const held = new LatestDigest({ nowMs: () => nowMs, wallMs: () => nowMs });
  assert.equal(held.read(), undefined);
  assert.equal(held.update(digest(40, 200)), true);
  nowMs += 300;
  assert.equal(held.read()?.ageMs, 500);
  assert.equal(held.update(digest(90, 900)), false);
  assert.equal(held.read()?.running, 40);
  assert.equal(held.update(digest(50, 100)), true);
  assert.equal(held.read()?.running, 50);
  assert.equal(held.read(99), undefined);
});
