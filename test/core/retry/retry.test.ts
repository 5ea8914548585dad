import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RetryBudget } from '../../../src/core/retry/index.js';
import { retryExtra } from '../../../src/gateway/context.js';

const WINDOW_MS = 10_000;

interface Setup {
  readonly budget: RetryBudget;
  readonly clock: { atMs: number };
}

function setupBudget(share: () => number, extra: () => number): Setup {
  const clock = { atMs: 0 };
  const budget = new RetryBudget({
    clock: { nowMs: () => clock.atMs },
    windowMs: WINDOW_MS,
    share,
    extra,
  });
  return { budget, clock };
}

test('retries never exceed their share of first attempts plus the extra ones', () => {
  const share = 0.2;
  const extra = 10;
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 400 }), (steps) => {
      const { budget } = setupBudget(
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

test('retries stay within the budget in every window, whenever it starts', () => {
  const share = 0.2;
  const extra = 3;
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 300 }), (steps) => {
      const { budget, clock } = setupBudget(
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
      // The windows with the most retries end at a retry.
      for (const untilMs of retries) {
        const isIn = (atMs: number): boolean => atMs > untilMs - WINDOW_MS && atMs <= untilMs;
        const allowed = share * firsts.filter(isIn).length + extra;
        assert.ok(retries.filter(isIn).length <= allowed + 1e-9);
      }
    }),
    { numRuns: 300 },
  );
});

test('a share of 0 allows only the extra retries, once per window', () => {
  const { budget, clock } = setupBudget(
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
 * Guards against failed streams that are not retried although the budget allows it. 42 entries with
 * 4.3 requests/s each run 10 s without faults; then an instance freezes, its group stalls, and 6
 * streams per entry fail within a second, and 4 more at a second fault 4 s later. A balance that
 * first attempts could not raise above the extra retries allowed 4 and 3.
 */
test('streams that fail together after a time without faults are retried within the configured budget', () => {
  const { budget, clock } = setupBudget(
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
 * Guards against a retry storm when all entries of a large deployment hit a fault at once, such as
 * a group that loses a rank. 448 extra retries in 10 s are allowed; with the extra ones divided by
 * 48, each of 137 entries (99 and 38 that may be added) could retry 9.3 times at once, 1,279 times
 * together.
 */
test('all entries together never exceed the allowed retries at once, however many there are', () => {
  for (const [entries, extra] of [
    [6, 90],
    [40, 230],
    [137, 448],
  ] as const) {
    const budgets = Array.from(
      { length: entries },
      () =>
        setupBudget(
          () => 0,
          () => retryExtra(extra, entries),
        ).budget,
    );
    let retries = 0;
    for (const budget of budgets) while (budget.withdraw()) retries += 1;
    assert.ok(retries <= extra, `${retries} of ${extra} with ${entries} entries`);
  }
});

test('retries already taken count against an allowance that shrinks as more entries join', () => {
  let extra = 9;
  const { budget } = setupBudget(
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
