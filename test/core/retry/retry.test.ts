import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RetryBudget } from '../../../src/core/retry/index.js';
import { retryExtra } from '../../../src/gateway/context.js';

const WINDOW_MS = 10_000;

interface Played {
  readonly budget: RetryBudget;
  readonly clock: { atMs: number };
}

function budgetOf(share: () => number, extra: () => number): Played {
  const clock = { atMs: 0 };
  const budget = new RetryBudget({
    clock: { nowMs: () => clock.atMs },
    windowMs: WINDOW_MS,
    share,
    extra,
  });
  return { budget, clock };
}

test('retries never go beyond their share of first attempts and the extra ones', () => {
  const share = 0.2;
  const extra = 10;
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 400 }), (steps) => {
      const { budget } = budgetOf(
        () => share,
        () => extra,
      );
      let [first, retries] = [0, 0];
      for (const isRetry of steps) {
        if (!isRetry) {
          first += 1;
          budget.deposit();
        } else if (budget.withdraw()) retries += 1;
        assert.ok(retries <= first * share + extra + 1e-9);
      }
    }),
    { seed: 71, numRuns: 300 },
  );
});

const STEP = fc.record({
  kind: fc.constantFrom('first', 'retry'),
  afterMs: fc.oneof(fc.nat({ max: 100 }), fc.nat({ max: 6000 })),
});

test('that holds within every window, wherever it lies', () => {
  const share = 0.2;
  const extra = 3;
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 300 }), (steps) => {
      const { budget, clock } = budgetOf(
        () => share,
        () => extra,
      );
      const firsts: number[] = [];
      const retries: number[] = [];
      for (const { kind, afterMs } of steps) {
        clock.atMs += afterMs;
        if (kind === 'first') {
          firsts.push(clock.atMs);
          budget.deposit();
        } else if (budget.withdraw()) retries.push(clock.atMs);
      }
      // A window that ends with any retry holds the most of them.
      for (const untilMs of retries) {
        const isIn = (atMs: number): boolean => atMs > untilMs - WINDOW_MS && atMs <= untilMs;
        const allowed = share * firsts.filter(isIn).length + extra;
        assert.ok(retries.filter(isIn).length <= allowed + 1e-9);
      }
    }),
    { numRuns: 300 },
  );
});

test('a share of nothing allows the extra ones, once in each window', () => {
  const { budget, clock } = budgetOf(
    () => 0,
    () => 2,
  );
  budget.deposit();
  assert.deepEqual([budget.withdraw(), budget.withdraw(), budget.withdraw()], [true, true, false]);
  clock.atMs = WINDOW_MS / 2;
  assert.equal(budget.withdraw(), false);
  clock.atMs = 1.1 * WINDOW_MS;
  assert.deepEqual([budget.withdraw(), budget.withdraw(), budget.withdraw()], [true, true, false]);
});

/**
 * Benchmark. Load: 42 entries with 4.3 requests a second each, and no fault for ten seconds; then an instance freezes, its
 * group stands still, and each entry's 6 streams there fail within a second; a second such fault with 4 streams 4 s later.
 * Before, with a balance that no first attempt raised above the extra ones: 4 retries at the first fault, 3 at the second.
 * After: 6 and 4.
 */
test('streams that fail together after a while without faults are tried elsewhere, as far as the users allow', () => {
  const { budget, clock } = budgetOf(
    () => 0.14,
    () => retryExtra(234, 42),
  );
  const runFor = (ms: number): void => {
    for (let i = 0; i < (4.3 * ms) / 1000; i += 1) {
      clock.atMs += 1000 / 4.3;
      budget.deposit();
    }
  };
  const failing = (streams: number): number =>
    Array.from({ length: streams }, () => budget.withdraw()).filter(Boolean).length;
  runFor(WINDOW_MS);
  const first = failing(6);
  runFor(4000);
  assert.deepEqual([first, failing(4)], [6, 4]);
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
        budgetOf(
          () => 0,
          () => retryExtra(extra, entries),
        ).budget,
    );
    let retries = 0;
    for (const budget of budgets) while (budget.withdraw()) retries += 1;
    assert.ok(retries <= extra, `${retries} of ${extra} with ${entries} entries`);
  }
});

test('an allowance that shrinks as more entries are heard of leaves what was taken taken', () => {
  let extra = 9;
  const { budget } = budgetOf(
    () => 0.5,
    () => extra,
  );
  for (let i = 0; i < 4; i += 1) assert.ok(budget.withdraw());
  extra = 3;
  assert.equal(budget.withdraw(), false);
  for (let i = 0; i < 4; i += 1) budget.deposit();
  assert.ok(budget.withdraw());
  assert.equal(budget.withdraw(), false);
});
