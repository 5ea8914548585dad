import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { urgencyOf } from '../../../src/core/urgency/index.js';

const priority = fc.integer({ min: 0, max: 9 });

test("no route is urgent enough to pass an organisation of a better priority, and equal organisations go by their routes'", () => {
  fc.assert(
    fc.property(priority, priority, priority, priority, (org, route, otherOrg, otherRoute) => {
      const [own, other] = [urgencyOf(org, route), urgencyOf(otherOrg, otherRoute)];
      if (org !== otherOrg) assert.equal(own < other, org < otherOrg);
      else assert.equal(own < other, route < otherRoute);
      // Returning callers are queued 100 behind first tries.
      assert.ok(own >= 0 && own < 100);
    }),
  );
});

test('organisations without a priority leave the order to the routes', () => {
  fc.assert(
    fc.property(priority, priority, (route, other) => {
      assert.equal(urgencyOf(undefined, route) < urgencyOf(undefined, other), route < other);
    }),
  );
});
