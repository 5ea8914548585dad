import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RetryBudget } from '../../../src/core/retry/index.js';
import { retryBurst } from '../../../src/gateway/context.js';

test('retries never go beyond their share of first attempts and the burst', () => {
  const share = 0.2;
  const burst = 10;
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 400 }), (steps) => {
      const budget = new RetryBudget(
        () => share,
        () => burst,
      );
      let [first, retries] = [0, 0];
      for (const isRetry of steps) {
        if (!isRetry) {
          first += 1;
          budget.deposit();
        } else if (budget.withdraw()) retries += 1;
        assert.ok(retries <= first * share + burst + 1e-9);
      }
    }),
    { seed: 71, numRuns: 300 },
  );
});

test('a share of nothing allows the burst and then none', () => {
  const budget = new RetryBudget(
    () => 0,
    () => 2,
  );
  budget.deposit();
  assert.deepEqual([budget.withdraw(), budget.withdraw(), budget.withdraw()], [true, true, false]);
});

/**
 * Story: a fault that all entries of a large deployment meet at once (a group that loses a rank) may be followed by more
 * retries than the users allow: 448 in ten seconds beyond a share of the requests.
 * Evidence: found by reading, not seen in a play: each of 99 entries, and of the 38 that may be added, had a part for 48 of
 * them, 9.3 retries at once, 1,279 together. This test failed on that part.
 */
test('all entries together take no more retries at once than are allowed, however many there are', () => {
  for (const [entries, extra] of [
    [6, 90],
    [40, 230],
    [137, 448],
  ] as const) {
    const budgets = Array.from(
      { length: entries },
      () =>
        new RetryBudget(
          () => 0,
          () => retryBurst(extra, entries),
        ),
    );
    let retries = 0;
    for (const budget of budgets) while (budget.withdraw()) retries += 1;
    assert.ok(retries <= extra, `${retries} of ${extra} with ${entries} entries`);
  }
});

test('a burst that shrinks as more entries are heard of leaves what was taken taken', () => {
  let burst = 9;
  const budget = new RetryBudget(
    () => 0.5,
    () => burst,
  );
  for (let i = 0; i < 4; i += 1) assert.ok(budget.withdraw());
  burst = 3;
  assert.equal(budget.withdraw(), false);
  for (let i = 0; i < 4; i += 1) budget.deposit();
  assert.ok(budget.withdraw());
  assert.equal(budget.withdraw(), false);
});
