import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '../../src/core/ids/index.js';
import type { RouteId } from '../../src/core/published/index.js';
import { ReturningCallers } from '../../src/gateway/returning.js';

const ROUTE = asId<RouteId>('r-1');

test('who waits much less than others of its route has been here before', () => {
  const callers = new ReturningCallers();
  assert.equal(callers.isReturning(ROUTE, 8017), false);
  assert.equal(callers.isReturning(ROUTE, 8010), false);
  assert.equal(callers.isReturning(ROUTE, 5600), true);
  assert.equal(callers.isReturning(asId<RouteId>('r-2'), 5600), false, 'routes differ');
});
