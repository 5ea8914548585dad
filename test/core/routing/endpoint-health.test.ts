import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  EJECT_AFTER_FAILURES,
  EJECT_BASE_MS,
  EndpointHealth,
} from '../../../src/core/routing/index.js';

test('consecutive failures eject an endpoint for longer each time until a single probe succeeds', () => {
  const health = new EndpointHealth();
  const random = () => 0.5;
  for (let n = 1; n < EJECT_AFTER_FAILURES; n += 1)
    assert.equal(health.noteFailure(0, random), false);
  assert.equal(health.noteFailure(0, random), true);
  assert.equal(health.isEjected(EJECT_BASE_MS - 1), true);
  assert.equal(health.isEjected(EJECT_BASE_MS), false);
  health.noteSent(EJECT_BASE_MS);
  assert.equal(health.isEjected(EJECT_BASE_MS + 1), true, 'a probe is in flight');
  assert.equal(health.noteFailure(EJECT_BASE_MS + 2, random), true);
  assert.equal(health.isEjected(EJECT_BASE_MS + 2 + 2 * EJECT_BASE_MS - 1), true);
  health.noteSuccess();
  assert.equal(health.isEjected(EJECT_BASE_MS + 3), false);
});
