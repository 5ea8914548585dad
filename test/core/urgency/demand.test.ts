import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { HoldingTime } from '../../../src/core/limits/index.js';
import {
  checkDemand,
  DemandCounter,
  DemandSum,
  HOLDING_TIME_CONSTANT_MS,
} from '../../../src/core/urgency/index.js';
import type { Demand } from '../../../src/generated/messages.types.js';

/** Counts arrivals at a rate over a time, and returns the counter. */
function countArrivals(rates: readonly (readonly [number, string, number])[], ms: number) {
  const random = seededRandom(1);
  const counter = new DemandCounter(0);
  for (let nowMs = 0; nowMs < ms; nowMs += 1)
    for (const [urgency, organisation, perS] of rates)
      if (random() < perS / 1000) counter.note(urgency, organisation, nowMs);
  return counter;
}

test('arrivals are counted by urgency and organisation, and the count follows a burst within a second', () => {
  const counter = countArrivals(
    [
      [10, 'a', 40],
      [12, 'b', 80],
    ],
    5000,
  );
  const { byUrgency, byOrganisation } = counter.read(5000);
  assert.ok(Math.abs((byUrgency['10'] ?? 0) - 40) < 15, JSON.stringify(byUrgency));
  assert.ok(Math.abs((byOrganisation['b'] ?? 0) - 80) < 20, JSON.stringify(byOrganisation));
  assert.ok((counter.read(6000).byUrgency['12'] ?? 0) < 40, 'decayed after a second');
});

test('an entry that has just started does not report too few arrivals', () => {
  const { byUrgency } = countArrivals([[10, 'a', 100]], 400).read(400);
  assert.ok((byUrgency['10'] ?? 0) > 70, JSON.stringify(byUrgency));
});

test('counts stay bounded with any number of urgencies and organisations, and none of them is lost', () => {
  const counter = new DemandCounter(0);
  for (let i = 0; i < 5000; i += 1) counter.note(i % 100, `org-${i % 700}`, 5000);
  const { byUrgency, byOrganisation, othersPerS } = counter.read(5000);
  const sum = (counts: Demand['byUrgency']): number =>
    Object.values(counts).reduce<number>((total, perS) => total + (perS ?? 0), 0);
  assert.equal(Object.keys(byUrgency).length, 8);
  assert.equal(Object.keys(byOrganisation).length, 8);
  assert.ok(Math.abs(sum(byUrgency) - 5000) < 100, `${sum(byUrgency)}`);
  assert.ok(Math.abs(sum(byOrganisation) + (othersPerS ?? 0) - 5000) < 100);
});

test('values that are negative, huge or no number are dropped and named', () => {
  const { demand, invalid } = checkDemand({
    byUrgency: { 10: -3, 11: 1e12, 12: null, 13: Number.NaN, 14: 5, odd: 1 },
    byOrganisation: { a: -1, b: 2 },
    othersPerS: null,
    holdMs: -5,
    limit: 1e30,
  });
  assert.deepEqual(demand, {
    byUrgency: { 14: 5 },
    byOrganisation: { b: 2 },
    othersPerS: 0,
  });
  assert.deepEqual([...invalid].sort(), [
    'byOrganisation.a',
    'byUrgency',
    'byUrgency.10',
    'byUrgency.11',
    'byUrgency.12',
    'byUrgency.13',
    'holdMs',
    'limit',
    'othersPerS',
  ]);
});

const report = (perS: number, more: Partial<Demand> = {}): Demand => ({
  byUrgency: { 10: perS },
  byOrganisation: {},
  othersPerS: perS,
  ...more,
});

test('an entry that changed its agent is not counted twice, whichever report arrives last', () => {
  const sum = new DemandSum();
  sum.record('e-1', report(8), 1000);
  sum.record('e-1', report(5), 700);
  sum.record('e-2', report(4), 900);
  assert.equal(sum.read(1100)?.byUrgency['10'], 12);
});

test('an entry that no longer reports is dropped', () => {
  const sum = new DemandSum();
  sum.record('e-1', report(8), 1000);
  sum.record('e-2', report(4), 2500);
  assert.equal(sum.read(3200)?.byUrgency['10'], 4);
  assert.equal(sum.read(5000), undefined);
});

test('one entry with an absurd limit or holding time does not set those of the group', () => {
  const sum = new DemandSum();
  for (const i of [1, 2, 3]) sum.record(`e-${i}`, report(10, { limit: 300, holdMs: 1200 }), 0);
  sum.record('e-4', report(0.1, { limit: 100_000, holdMs: 60_000 }), 0);
  assert.equal(sum.read(10)?.limit, 300);
  assert.ok((sum.read(10)?.holdMs ?? 0) < 1500);
});

test('an entry that reports far more arrivals than the others does not set the demand of the group', () => {
  const sum = new DemandSum();
  for (let i = 0; i < 20; i += 1) sum.record(`e-${i}`, report(5), 0);
  sum.record('e-20', report(2000), 0);
  assert.equal(sum.read(10)?.byUrgency['10'], 150);
  assert.equal(sum.read(10)?.othersPerS, 150);
});

test('the spread grows with changing demand and shrinks again', () => {
  const sum = new DemandSum();
  let nowMs = 0;
  const spreadAfter = (perS: (step: number) => number): number => {
    for (let step = 0; step < 100; step += 1) {
      nowMs += 100;
      sum.record('e-1', report(perS(step)), nowMs);
      sum.read(nowMs);
    }
    return sum.read(nowMs)?.spread?.['10'] ?? Number.NaN;
  };
  assert.ok(spreadAfter(() => 50) < 1);
  assert.ok(spreadAfter((step) => (step % 40 < 20 ? 30 : 70)) > 10);
  assert.ok(spreadAfter(() => 50) < 5);
});

test('the mean holding time is that of the streams, however many run at once', () => {
  const holdingTime = new HoldingTime(HOLDING_TIME_CONSTANT_MS);
  assert.equal(holdingTime.meanMs(0), undefined);
  let taken = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    if (nowMs >= 1200) holdingTime.note((taken -= 1), nowMs);
    holdingTime.note((taken += 1), nowMs);
  }
  const meanMs = holdingTime.meanMs(20_000) ?? 0;
  assert.ok(Math.abs(meanMs - 1200) < 120, `${meanMs}`);
});
