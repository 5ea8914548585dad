import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  BodyReservation,
  budgetLimits,
  chooseStalest,
  KEEPS_UP_MS,
  MemoryBudget,
  type EndedResponse,
  type ResponseAccount,
} from '../../../src/core/buffering/index.js';

const LIMITS = { totalBytes: 1000, bodyBytes: 500, responseBytes: 600 };

interface TestBudget {
  readonly budget: MemoryBudget;
  readonly ended: { readonly name: string; readonly how: EndedResponse }[];
  nowMs: number;
  open(name: string, unreadSinceMs?: number): ResponseAccount;
}

function createBudget(): TestBudget {
  const made: TestBudget = {
    nowMs: 10_000,
    ended: [],
    budget: new MemoryBudget(LIMITS, () => made.nowMs),
    open: (name, unreadSinceMs) => {
      const account = made.budget.open((how) => made.ended.push({ name, how }));
      account.unreadSinceMs = unreadSinceMs;
      return account;
    },
  };
  return made;
}

test('the smallest instance keeps most of its memory for the runtime and its requests', () => {
  const { totalBytes, bodyBytes, responseBytes } = budgetLimits(202e6);
  assert.ok(totalBytes < 30e6);
  assert.ok(bodyBytes < totalBytes && responseBytes < totalBytes);
  // The largest response that is read to its end before it is forwarded.
  assert.ok(responseBytes >= 8 * 1024 * 1024);
});

test('the response with the oldest unread byte is ended first, not the largest or the newest', () => {
  const { budget, ended, open } = createBudget();
  const accounts = [open('old', 2000), open('oldest', 1000), open('recent', 9000)];
  const sizes = [100, 100, 500];
  for (const [i, account] of accounts.entries()) budget.hold(account, sizes[i] ?? 0);
  assert.equal(ended.length, 0);
  const next = open('next', 9900);
  assert.ok(budget.hold(next, 350));
  assert.deepEqual(
    ended.map((e) => e.name),
    ['oldest'],
  );
  assert.deepEqual(ended[0]?.how, {
    reason: 'budget',
    heldBytes: 100,
    oldestMs: 9000,
    usedBytes: 1050,
    budgetBytes: 1000,
  });
  assert.equal(budget.usedBytes, 950);
  assert.equal(budget.peakBytes, 1050);
  assert.ok(!budget.hold(accounts[1] as ResponseAccount, 1), 'an ended response takes no more');
});

test('a caller that keeps up is never ended for callers that do not read', () => {
  const { budget, ended, open, nowMs } = createBudget();
  const keepsUp = open('keeps up', nowMs - KEEPS_UP_MS);
  budget.hold(keepsUp, 300);
  budget.hold(open('stale', 0), 500);
  budget.hold(open('stale too', 1), 300);
  assert.deepEqual(
    ended.map((e) => e.name),
    ['stale'],
  );
  assert.equal(chooseStalest([keepsUp], nowMs), undefined);
});

test('one response cannot take the budget of all others', () => {
  const { budget, ended, open } = createBudget();
  budget.hold(open('other', 0), 100);
  assert.ok(!budget.hold(open('large', 9999), 601));
  assert.deepEqual(
    ended.map((e) => [e.name, e.how.reason]),
    [['large', 'response-limit']],
  );
});

test('a response that cannot be read to its end within the budget is ended itself', () => {
  const { budget, ended, open } = createBudget();
  assert.ok(budget.hold(open('first'), 600));
  assert.ok(!budget.hold(open('second'), 500));
  assert.deepEqual(
    ended.map((e) => e.name),
    ['second'],
  );
});

test('a body that does not fit is not reserved, and ends no response', () => {
  const { budget, ended, open } = createBudget();
  const body = new BodyReservation(budget);
  assert.ok(body.extendTo(400));
  assert.ok(body.extendTo(300), 'already reserved');
  const other = new BodyReservation(budget);
  assert.ok(!other.extendTo(101), 'over the share of bodies');
  budget.hold(open('stale', 0), 600);
  assert.ok(!other.extendTo(1), 'over the budget');
  body.release();
  body.release();
  assert.equal(budget.usedBytes, 600);
  assert.ok(other.extendTo(400));
  assert.equal(ended.length, 0);
});

test('no byte is counted twice or forgotten, whatever the order of events', () => {
  const step = fc.record({
    what: fc.constantFrom('open', 'hold', 'release', 'close', 'wait', 'reserve', 'free'),
    which: fc.nat(5),
    bytes: fc.nat(400),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const made = createBudget();
      const { budget } = made;
      const accounts = Array.from({ length: 6 }, (_, i) => made.open(`a${i}`));
      const bodies = Array.from({ length: 6 }, () => new BodyReservation(budget));
      for (const { what, which, bytes } of steps) {
        const account = accounts[which] as ResponseAccount;
        const body = bodies[which] as BodyReservation;
        if (what === 'open') {
          budget.close(account);
          accounts[which] = made.open(`a${which}`, made.nowMs);
        }
        if (what === 'hold') budget.hold(account, bytes);
        if (what === 'release') budget.release(account, Math.min(bytes, account.heldBytes));
        if (what === 'close') budget.close(account);
        if (what === 'wait') made.nowMs += bytes;
        if (what === 'reserve') body.extendTo(bytes);
        if (what === 'free') body.release();
        assert.ok(budget.usedBytes >= 0 && budget.peakBytes >= budget.usedBytes);
      }
      for (const account of accounts) budget.close(account);
      for (const body of bodies) body.release();
      assert.equal(budget.usedBytes, 0);
    }),
  );
});
