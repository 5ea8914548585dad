/**
 * What callers get before a group under changing load, with the policy before (a returning caller waits for 0.6 of its
 * target), with the queue of returning callers, and with scheduled returns as well, in the same run.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { simulate, type LoadCase, type Policy, type Tally } from './callers-under-load.js';

const MEAN_PER_S = 12.3;
const WAVE_PERIOD_MS = 13_000;
const SEEDS = [1, 2, 3];

function loadCase(entries: number, change: Partial<LoadCase>): LoadCase {
  return {
    entries,
    slotsPerEntry: 16,
    durationMs: 40_000,
    perS: () => entries * MEAN_PER_S,
    ...change,
  };
}

const wave = (entries: number): LoadCase =>
  loadCase(entries, {
    perS: (atMs) =>
      entries * MEAN_PER_S * (1 + 0.55 * Math.sin((2 * Math.PI * atMs) / WAVE_PERIOD_MS)),
  });
const burst = (entries: number): LoadCase =>
  loadCase(entries, {
    perS: (atMs) => entries * 7.5 * (atMs > 15_000 && atMs < 21_000 ? 2.4 : 1),
  });
const outage = (entries: number, lengthMs: number): LoadCase =>
  loadCase(entries, {
    perS: () => entries * 9,
    outages: [{ fromMs: 15_000, toMs: 15_000 + lengthMs }],
  });

/** Shares of the callers in percent, over all seeds. */
function shares(load: LoadCase, policy: Policy): Record<keyof Tally, number> {
  const tallies = SEEDS.map((seed) => simulate(load, policy, seed));
  const callers = tallies.reduce((sum, tally) => sum + tally.callers, 0);
  const percent = Object.entries(tallies[0] as Tally).map(([key]) => {
    const sum = tallies.reduce((total, tally) => total + tally[key as keyof Tally], 0);
    return [key, Math.round((1000 * sum) / callers) / 10];
  });
  return Object.fromEntries(percent) as Record<keyof Tally, number>;
}

function compare(t: TestContext, load: LoadCase, policies: readonly Policy[]) {
  const results = policies.map((policy) => shares(load, policy));
  for (const [i, result] of results.entries())
    t.diagnostic(`${policies[i]}: ${JSON.stringify(result)}`);
  return results as [Record<keyof Tally, number>, Record<keyof Tally, number>];
}

for (const entries of [1, 15]) {
  test(`callers refused at the top of a wave are not refused for good (${entries} entries)`, (t) => {
    const [before, after] = compare(t, wave(entries), ['before', 'queue']);
    assert.ok(after.refusedTwice < 0.95 * before.refusedTwice);
    assert.ok(after.inTime > before.inTime + 3);
    assert.ok(after.value > before.value + 2);
    assert.ok(after.heldAndRefused < 4.5);
    assert.equal(after.tooLong, 0);
  });

  test(`a burst leaves fewer callers late and none worse off (${entries} entries)`, (t) => {
    const [before, after] = compare(t, burst(entries), ['before', 'queue']);
    assert.ok(after.refusedTwice < before.refusedTwice + 0.5);
    assert.ok(after.inTime > before.inTime + 1);
    assert.ok(after.value > before.value + 0.2);
  });

  test(`callers refused in an outage of 7 s are served after it (${entries} entries)`, (t) => {
    const [before, after] = compare(t, outage(entries, 7000), ['before', 'queue']);
    assert.ok(after.refusedTwice < 0.8 * before.refusedTwice);
    assert.ok(after.heldAndRefused < 2.5);
    assert.ok(after.value >= before.value);
  });
}

/** Nobody knows how long an outage lasts; those held for a usual one lose by it if it lasts longer. */
test('an outage that lasts longer than expected costs those who were held, and no others', (t) => {
  const [before, after] = compare(t, outage(15, 15_000), ['before', 'queue']);
  assert.ok(after.heldAndRefused < 11);
  assert.ok(after.refusedTwice <= before.refusedTwice);
  assert.ok(after.value > before.value - 4);
});

test('callers of a later outage of known length wait for its end', (t) => {
  const outages = [
    { fromMs: 10_000, toMs: 17_000 },
    { fromMs: 27_000, toMs: 34_000 },
  ];
  const load = loadCase(15, { perS: () => 15 * 9, outages });
  const [before, after] = compare(t, load, ['before', 'queue']);
  assert.ok(after.refusedTwice < before.refusedTwice - 2);
  assert.ok(after.value > before.value + 1);
});

test('with little overload callers are served as before', (t) => {
  const [before, after] = compare(t, loadCase(15, { perS: () => 15 * 8 }), ['before', 'queue']);
  assert.ok(Math.abs(after.inTime - before.inTime) < 0.3);
  assert.ok(after.refusedTwice <= before.refusedTwice + 0.1);
});

test('in a lasting overload returning callers neither crowd out first tries nor wait in vain', (t) => {
  const [before, after] = compare(t, loadCase(15, { perS: () => 15 * 15.4 }), ['before', 'queue']);
  assert.ok(after.inTime > before.inTime + 6);
  assert.ok(after.value > before.value + 3);
  assert.ok(after.heldAndRefused < 10);
});

test('callers that return at once do not fill the queue', (t) => {
  const load = { ...wave(15), impatientShare: 1 };
  const [before, after] = compare(t, load, ['before', 'queue']);
  assert.ok(after.refusedTwice < before.refusedTwice);
  // Those that return at once and get a slot take it from first tries at the top of the wave.
  assert.ok(after.value > before.value - 2.5);
});

test('an entry that restarts in a wave serves as well with an empty record', (t) => {
  const [before, after] = compare(t, { ...wave(1), restartAtMs: 15_000 }, ['before', 'queue']);
  assert.ok(after.refusedTwice < before.refusedTwice);
  assert.ok(after.value > before.value);
});

/** Scheduled returns must not cost what the queue gained, whether the forecast holds or not. */
test('scheduled returns in a lasting wave are no worse than the usual range', (t) => {
  const load = { ...wave(15), durationMs: 80_000 };
  const [queue, schedule] = compare(t, load, ['queue', 'schedule']);
  assert.ok(schedule.room + schedule.latest > 0.2 * schedule.refusedOnce, 'some are scheduled');
  assert.ok(schedule.refusedTwice < queue.refusedTwice + 0.7);
  assert.ok(schedule.value > queue.value - 0.7);
});

test('a burst that the forecast of a wave missed does not strand the promised returns', (t) => {
  const burstAt = (atMs: number): number => (atMs > 45_000 && atMs < 51_000 ? 1.6 : 1);
  const load = {
    ...wave(15),
    durationMs: 65_000,
    perS: (atMs: number) => 0.85 * wave(15).perS(atMs) * burstAt(atMs),
  };
  const [before, schedule] = compare(t, load, ['before', 'schedule']);
  assert.ok(schedule.refusedTwice < before.refusedTwice);
  assert.ok(schedule.value > before.value + 2);
});

test('callers that ignore their scheduled return are no worse off than before', (t) => {
  const load = { ...wave(15), durationMs: 60_000, impatientShare: 0.5 };
  const [before, schedule] = compare(t, load, ['before', 'schedule']);
  assert.ok(schedule.refusedTwice < before.refusedTwice);
  assert.ok(schedule.value > before.value);
});

test('an entry that restarts forgets its promises and serves on with the usual range', (t) => {
  const load = { ...wave(15), durationMs: 60_000, restartAtMs: 45_000 };
  const [before, schedule] = compare(t, load, ['before', 'schedule']);
  assert.ok(schedule.refusedTwice < before.refusedTwice);
  assert.ok(schedule.value > before.value);
});
