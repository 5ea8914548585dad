/**
 * Callers of unequal urgency at a group that is nearly full. Today's order, in which only those who wait are ordered by
 * urgency, served the most urgent class no better than the others, and one data centre worse than another.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  between,
  by,
  earnedShare,
  LIMIT,
  shareOf,
  simulate,
  type Fate,
  type Load,
  type Outcome,
  type Policy,
} from './overload.js';

const byLevel: Policy = (queue, urgency, organisation, random) =>
  queue.admit(urgency, organisation, random);
/** First come, first served; those who wait are ordered by urgency. */
const firstCome: Policy = () => ({ kind: 'queue' });

/**
 * Trunk reservation at each entry: a class finds the slots less one standard deviation of this entry's more urgent
 * streams, 2 and 4.5 of them at 33 entries.
 */
const RESERVED: Readonly<Record<number, number>> = { 10: 0, 11: 1, 12: 2 };
const byReservation: Policy = ({ queue, slots }, urgency) => ({
  kind: queue.running < slots - (RESERVED[urgency] ?? 0) ? 'queue' : 'refused',
});

const LARGE = { entries: [12, 10, 11], parts: [91, 86, 113] };
const SMALL = { entries: [5, 5, 5], parts: [1, 1, 1] };
const FRESH = { everyMs: 250, ageMs: 300 };
const FROM_MS = 12_000;

/** Everything doubles for 4 s. */
const DOUBLE = {
  endsAtMs: 16_000,
  factor: (_: number, nowMs: number) => (nowMs >= FROM_MS && nowMs < 16_000 ? 2 : 1),
};
/** The least urgent class has 2.4 times its callers for 6 s, then the most urgent one 1.8 times for 3.5 s. */
const BURSTS = {
  endsAtMs: 21_500,
  factor: (priority: number, nowMs: number) => {
    if (priority === 2 && nowMs >= FROM_MS && nowMs < 18_000) return 2.4;
    return priority === 0 && nowMs >= 18_000 && nowMs < 21_500 ? 1.8 : 1;
  },
};

type Course = Pick<Load, 'factor'>;
type Change = Partial<Load>;

/** Runs a load by the level, and first come first served. */
async function compare(
  { factor }: Course,
  seed: number,
  change: Change = {},
): Promise<{ level: Outcome; today: Outcome }> {
  const load = { ...LARGE, ...FRESH, factor, seed, durationMs: 30_000, ...change };
  return {
    level: await simulate({ ...load, policy: byLevel, byUrgency: true }),
    today: await simulate({ ...load, policy: firstCome, byUrgency: false }),
  };
}

const inTime = (fates: readonly Fate[]): number => shareOf(fates, 'in time');
const twice = (fates: readonly Fate[]): number => shareOf(fates, 'refused twice');

function summary({ fates, streams }: Outcome, fromMs: number, toMs: number): string {
  const part = between(fates, fromMs, toMs);
  return `in time ${by(part, 'priority', inTime)}, refused twice ${by(part, 'priority', twice)}, worth ${earnedShare(part).toFixed(3)}, data centres ${by(part, 'dataCentre', earnedShare)}, most streams ${(Math.max(...streams.slice(600)) / LIMIT).toFixed(2)} of the limit`;
}

function spreadOf(values: readonly number[]): number {
  return Math.max(...values) - Math.min(...values);
}

for (const [size, entries, ageMs] of [
  ['33 entries', LARGE, 300],
  ['33 entries, digests 1 s old', LARGE, 1000],
  ['15 entries', SMALL, 300],
] as const)
  test(`bursts of the least and then the most urgent class do not refuse urgent callers (${size})`, async () => {
    const { level, today } = await compare(BURSTS, 1, { ...entries, ageMs });
    const [during, before] = [level, today].map(({ fates }) =>
      between(fates, FROM_MS, BURSTS.endsAtMs),
    ) as [Fate[], Fate[]];
    const text = `level: ${summary(level, FROM_MS, BURSTS.endsAtMs)}; today: ${summary(today, FROM_MS, BURSTS.endsAtMs)}`;
    if (process.env['SHOW']) console.log(size, text);
    const [urgent = 0, middle = 0, least = 0] = by(during, 'priority', inTime);
    assert.ok(urgent >= 0.95, text);
    assert.ok(urgent >= middle - 0.05 && middle >= least - 0.05, text);
    assert.ok(earnedShare(during) >= earnedShare(before) + 0.05, text);
    assert.ok(spreadOf(by(during, 'dataCentre', earnedShare)) <= 0.05, text);
  });

for (const [size, entries] of [
  ['33 entries', LARGE],
  ['15 entries', SMALL],
] as const)
  test(`twice the callers for 4 s are served by urgency, and 2 s later all are served again (${size})`, async () => {
    const { level, today } = await compare(DOUBLE, 1, entries);
    const [during, before] = [level, today].map(({ fates }) =>
      between(fates, FROM_MS, DOUBLE.endsAtMs),
    ) as [Fate[], Fate[]];
    const text = `level: ${summary(level, FROM_MS, DOUBLE.endsAtMs)}; today: ${summary(today, FROM_MS, DOUBLE.endsAtMs)}`;
    const after = between(level.fates, DOUBLE.endsAtMs + 2000, 28_000);
    if (process.env['SHOW'])
      console.log(
        size,
        text,
        'after',
        summary(level, 18_000, 28_000),
        'today after',
        summary(today, 18_000, 28_000),
      );
    const [urgent = 0, middle = 0, least = 0] = by(during, 'priority', inTime);
    assert.ok(urgent >= (by(before, 'priority', inTime)[0] ?? 0) + 0.2, text);
    assert.ok(urgent > middle && middle > least, text);
    assert.ok((by(during, 'priority', twice)[0] ?? 1) <= 0.03, text);
    assert.ok(earnedShare(after) >= 0.97, summary(level, DOUBLE.endsAtMs + 2000, 28_000));
    assert.ok(spreadOf(by(during, 'dataCentre', earnedShare)) <= 0.08, text);
  });

test('without a burst hardly anyone is refused, and no class gives way to another', async () => {
  const { level, today } = await compare({ factor: () => 1 }, 1);
  const part = between(level.fates, 6000, 28_000);
  const text = `level: ${summary(level, 6000, 28_000)}; today: ${summary(today, 6000, 28_000)}`;
  if (process.env['SHOW']) console.log('calm', text);
  assert.ok(earnedShare(part) >= 0.985, text);
  assert.ok(Math.min(...by(part, 'priority', inTime)) >= 0.97, text);
});

test('the level of the whole group serves better than slots kept free at each entry', async () => {
  const load = { ...LARGE, ...FRESH, seed: 1, durationMs: 30_000 };
  for (const [course, factor] of [
    ['bursts', BURSTS.factor],
    ['no burst', () => 1],
  ] as const) {
    const level = await simulate({ ...load, factor, policy: byLevel, byUrgency: true });
    const slots = await simulate({ ...load, factor, policy: byReservation, byUrgency: false });
    const [own, other] = [level, slots].map(({ fates }) => between(fates, FROM_MS, 28_000));
    const text = `${course}: level: ${summary(level, FROM_MS, 28_000)}; slots kept free: ${summary(slots, FROM_MS, 28_000)}`;
    if (process.env['SHOW']) console.log(text);
    assert.ok(earnedShare(own ?? []) > earnedShare(other ?? []), text);
  }
});

test('no organisation falls under half of the mean service of its class while the class is cut', async () => {
  const factor = (priority: number, nowMs: number): number =>
    nowMs < FROM_MS ? 1 : priority === 1 ? 2.5 : 1;
  const { level } = await compare({ factor }, 1);
  const cut = between(level.fates, 15_000, 28_000).filter(({ priority }) => priority === 1);
  const mean = inTime(cut);
  const each = by(cut, 'organisation', inTime);
  if (process.env['SHOW']) console.log('organisations', mean, each);
  assert.ok(mean < 0.8, 'the class is cut');
  assert.ok(Math.min(...each) >= mean / 2, `${each} with a mean of ${mean}`);
  assert.ok((each[0] ?? 1) <= mean + 0.05, 'the largest is served no better than the mean');
});

/** Failures of what entries know. */
const FAILURES: readonly (readonly [failure: string, change: Change, leastInTime?: number])[] = [
  ['the coordinator is lost as the bursts begin', { digestsEndAtMs: FROM_MS }],
  ['digests are 2.5 s old', { ageMs: 2500, everyMs: 500 }],
  [
    'every other entry is cut off from the agents',
    { isCut: (entry, nowMs) => nowMs >= FROM_MS && entry % 2 === 0 },
  ],
  [
    'streams of an outage held their slots ten times as long',
    { alterReport: (_, report) => ({ ...report, holdMs: 10_000 }) },
    0.1,
  ],
  [
    'an entry reports nonsense',
    {
      alterReport: (entry, report) =>
        entry === 0
          ? { ...report, byUrgency: { 11: -5, 12: 1e300, 10: Number.NaN }, limit: 1e12, holdMs: -1 }
          : report,
    },
  ],
];

for (const [failure, change, leastInTime = 0.5] of FAILURES)
  test(`callers are served no worse than without a level while ${failure}`, async () => {
    const { level, today } = await compare(BURSTS, 1, change);
    const [during, before] = [level, today].map(({ fates }) => between(fates, FROM_MS, 28_000)) as [
      Fate[],
      Fate[],
    ];
    const text = `level: ${summary(level, FROM_MS, 28_000)}; today: ${summary(today, FROM_MS, 28_000)}`;
    if (process.env['SHOW']) console.log(failure, text);
    const [urgent = 0] = by(during, 'priority', inTime);
    assert.ok(urgent >= (by(before, 'priority', inTime)[0] ?? 0) - 0.02, text);
    assert.ok(earnedShare(during) >= earnedShare(before) - 0.02, text);
    assert.ok(Math.min(...by(during, 'priority', inTime)) >= leastInTime, text);
  });
