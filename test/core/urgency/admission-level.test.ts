import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  admissionLevel,
  fractionFor,
  shareByOrganisation,
  type LevelInput,
} from '../../../src/core/urgency/index.js';
import type { Demand } from '../../../src/generated/messages.types.js';

const demand = (byUrgency: Record<string, number>, more: Partial<Demand> = {}): Demand => ({
  byUrgency,
  byOrganisation: {},
  othersPerS: 0,
  ...more,
});

/** A group with as many streams as it may run, ten entries and a holding time of 1 s. */
function input(group: Demand | undefined, change: Partial<LevelInput> = {}): LevelInput {
  const tenth = (counts: Demand['byUrgency']): Record<string, number> =>
    Object.fromEntries(Object.entries(counts).map(([key, perS]) => [key, (perS ?? 0) / 10]));
  const own = demand(tenth(group?.byUrgency ?? {}));
  return {
    limit: 100,
    inFlight: 100,
    holdMs: 1000,
    group,
    ageMs: 300,
    own,
    ownAtCount: own,
    entries: 10,
    mayHave: () => true,
    ...change,
  };
}

const levelOf = (...args: Parameters<typeof input>) => {
  const level = admissionLevel(input(...args));
  assert.ok(level);
  return level;
};

test('a burst of the least urgent class does not lower the admission of the others', () => {
  const level = levelOf(demand({ 0: 30, 1: 40, 2: 300 }));
  assert.equal(fractionFor(level, 0, undefined), 1);
  assert.equal(fractionFor(level, 1, undefined), 1);
  assert.equal(level.cut, 2);
  const atCut = fractionFor(level, 2, undefined);
  // 30 streams are left, less the variation of the 70 streams of the others.
  assert.ok(atCut > 0.06 && atCut < 0.08, `${atCut}`);
});

test('classes below the cut are refused, and one without demand is not admitted before them', () => {
  const level = levelOf(demand({ 0: 30, 1: 200, 3: 50 }));
  assert.equal(level.cut, 1);
  for (const urgency of [2, 3, 9]) assert.equal(fractionFor(level, urgency, undefined), 0);
});

test('a class of which no one has called lately is not admitted while a more urgent one is cut', () => {
  const level = levelOf(demand({ 0: 200, 1: 0 }));
  assert.equal(level.cut, 0);
  assert.equal(fractionFor(level, 1, undefined), 0);
});

test('without urgent demand the others use the whole limit', () => {
  assert.equal(levelOf(demand({ 2: 100 })).cut, undefined);
  assert.equal(fractionFor(levelOf(demand({ 2: 200 })), 2, undefined), 0.5);
});

test('the room kept free follows the measured spread of more urgent demand', () => {
  const atCut = (spread: number): number =>
    fractionFor(levelOf(demand({ 0: 40, 2: 100 }, { spread: { 0: spread } })), 2, undefined);
  assert.ok(atCut(0) > 0.5 && atCut(0) < 0.56, `${atCut(0)}`);
  assert.ok(atCut(20) < atCut(0) - 0.1, `${atCut(20)}`);
});

test('streams beyond the limit lower the admission, free ones raise it', () => {
  const group = demand({ 0: 40, 2: 100 });
  const atCut = (inFlight: number): number =>
    fractionFor(levelOf(group, { inFlight }), 2, undefined);
  assert.ok(atCut(120) < atCut(100));
  assert.ok(atCut(80) > atCut(100));
});

test('with an old digest an entry falls back to its own demand and its even part', () => {
  const group = demand({ 0: 40, 2: 100 });
  const own = demand({ 0: 1, 2: 2 });
  const change = { own, ownAtCount: own };
  const fresh = levelOf(group, change);
  const old = levelOf(group, { ...change, ageMs: 3000 });
  assert.equal(fresh.cut, 2);
  assert.equal(old.cut, undefined, 'ten entries like this one have 30 streams');
  assert.equal(old.slots, 10);
  assert.ok(fresh.slots < 5, 'its part of the demand is a fiftieth');
});

test('an entry that has just started uses the digest, and none is known without both', () => {
  const nothing = demand({});
  const started = levelOf(demand({ 0: 40, 2: 200 }), { own: nothing, ownAtCount: nothing });
  assert.equal(started.cut, 2);
  assert.equal(admissionLevel(input(undefined, { own: nothing, ownAtCount: nothing })), undefined);
});

test('the slots of all entries together are the limit, also while one has a burst', () => {
  const shares = [0.3, 0.3, 0.2, 0.2].map((part) => demand({ 0: 40 * part, 1: 90 * part }));
  const group = demand({ 0: 40, 1: 90 });
  const slots = shares.map(
    (ownAtCount, i) =>
      levelOf(group, {
        entries: shares.length,
        ownAtCount,
        own: i === 0 ? demand({ 0: 60, 1: 150 }) : ownAtCount,
      }).slots,
  );
  const total = slots.reduce((sum, n) => sum + n, 0);
  // The entry with the burst expects more of the urgent class everywhere, and counts its part accordingly.
  assert.ok(total > 95 && total < 105, `${total}`);
  assert.ok((slots[1] ?? 0) > (slots[2] ?? 0));
});

// As traffic began, the sum had the first report only, and entries took most of the limit for their part: 120, 95 and 10
// slots of a limit of 216 for 33 entries.
test('as traffic begins, an entry does not take the first callers for its part of the demand', () => {
  const own = demand({ 0: 1 });
  const group = demand({ 0: 1.5 });
  const { slots } = levelOf(group, { limit: 216, inFlight: 0, entries: 33, own, ownAtCount: own });
  assert.ok(slots < 30, `${slots}`);
});

const perS = fc.double({ min: 0, max: 500, noNaN: true });

test('more urgent classes are never admitted less, and the admitted demand fits the room', () => {
  fc.assert(
    fc.property(
      fc.dictionary(fc.integer({ min: 0, max: 99 }).map(String), perS, { minKeys: 1, maxKeys: 8 }),
      fc.integer({ min: 0, max: 300 }),
      (byUrgency, inFlight) => {
        const level = levelOf(demand(byUrgency), { inFlight });
        const ordered = [...level.fractions].sort(([a], [b]) => a - b);
        let admitted = 0;
        ordered.forEach(([urgency, fraction], i) => {
          assert.ok(fraction >= 0 && fraction <= 1);
          admitted += fraction * (byUrgency[urgency] ?? 0);
          if (level.cut !== undefined && urgency > level.cut)
            assert.ok(fraction <= (ordered[i - 1]?.[1] ?? 1) + 1e-9);
        });
        assert.ok(admitted <= Math.max(0, 200 - inFlight) + 1e-6, `${admitted}`);
      },
    ),
  );
});

test('a large organisation does not take the share of small ones, and none falls under half of the mean', () => {
  fc.assert(
    fc.property(
      fc.array(fc.double({ min: 0.1, max: 100, noNaN: true }), { minLength: 1, maxLength: 8 }),
      fc.double({ min: 0.01, max: 0.99, noNaN: true }),
      fc.double({ min: 0, max: 100, noNaN: true }),
      (sizes, fraction, others) => {
        const demands = new Map(sizes.map((size, i) => [`org-${i}`, size]));
        const shares = shareByOrganisation(fraction, demands, others);
        let admitted = others * shares.others;
        for (const [id, size] of demands) {
          const share = shares.byOrganisation.get(id) ?? 0;
          admitted += size * share;
          assert.ok(share >= fraction / 2 - 1e-9);
          for (const [other, otherSize] of demands)
            if (otherSize > size)
              assert.ok((shares.byOrganisation.get(other) ?? 0) <= share + 1e-9);
        }
        const total = sizes.reduce((sum, size) => sum + size, others);
        assert.ok(Math.abs(admitted - fraction * total) < 0.01 * total, `${admitted} of ${total}`);
      },
    ),
  );
});
