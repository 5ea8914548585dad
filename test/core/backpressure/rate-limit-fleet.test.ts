/** Rate limits across many entries, simulated in virtual time with the real components. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { always, flapping, varying } from '../../../bench/rate-limits/cases.js';
import { makeEntry } from '../../../bench/rate-limits/entry.js';
import {
  playFleet,
  type Fault,
  type FleetOutcome,
  type FleetPlay,
} from '../../../bench/rate-limits/fleet.js';

const PLAY: FleetPlay = {
  seed: 1,
  entries: 42,
  relays: 3,
  endpoints: 1,
  limitAt: always(4),
  callersPerS: 100,
  answerMs: 40,
  fault: 'none',
  seconds: 50,
};

const simulate = (change: Partial<FleetPlay>): Promise<FleetOutcome> =>
  playFleet({ ...PLAY, ...change }, makeEntry);

async function assertKept(change: Partial<FleetPlay>): Promise<void> {
  const { most, excess } = await simulate(change);
  assert.ok(excess <= 0, `${most} requests in 4 s, ${excess.toFixed(1)} over the bound`);
}

const WAVES = { callersPerS: 250, quietMs: 14_000 } as const;
const LARGE = { entries: 100, callersPerS: 600 } as const;
const LOW = { entries: 7, limitAt: always(0.2), ...WAVES, callersPerS: 42, seconds: 70 } as const;

/** Cases in which entries know least about one another or about the limit. */
const CASES: Readonly<Record<string, Partial<FleetPlay>>> = {
  '100 entries, steady load': LARGE,
  '42 idle entries resume at once': WAVES,
  'answers begin seconds after idle entries resume': { ...WAVES, answerMs: 3000 },
  'all relays restart together': { ...LARGE, fault: 'relays-restart' },
  'all relays are frozen': { ...WAVES, fault: 'relays-frozen', quietMs: 5000, seconds: 70 },
  '0.2 requests/s, slow answers, seed 7': { ...LOW, answerMs: 3000, seed: 7 },
  '0.2 requests/s, slow answers, seed 17': { ...LOW, answerMs: 3000, seed: 17 },
  'no relay at all': { ...WAVES, relays: 0 },
};

test('rate limits hold while entries are idle, relays restart, or no relay can be reached', async () => {
  const violations: string[] = [];
  for (const [name, change] of Object.entries(CASES)) {
    const { most, excess } = await simulate(change);
    if (excess > 0) violations.push(`${name}: ${most} requests in 4 s`);
  }
  assert.deepEqual(violations, []);
});

test('rate limits hold under random faults, sizes, loads and lost updates', async () => {
  const faults: Fault[] = ['none', 'rolling-restart', 'relays-restart', 'relays-frozen'];
  const plays = fc.record({
    seed: fc.nat(),
    entries: fc.constantFrom(7, 7, 7, 42, 100),
    relays: fc.constantFrom(1, 2, 3, 3),
    endpoints: fc.constantFrom(1, 3),
    limitAt: fc.oneof(
      fc.constantFrom(0, 0.2, 1, 2.3, 4).map(always),
      fc.tuple(fc.constantFrom(1, 4), fc.constantFrom(7000, 9000)).map((of) => flapping(...of)),
      fc.tuple(fc.constantFrom(1, 4), fc.constantFrom(7000, 9000)).map((of) => varying(...of)),
    ),
    callersPerS: fc.constantFrom(5, 40, 120),
    firstShare: fc.constantFrom(undefined, undefined, 0.5),
    quietMs: fc.constantFrom(undefined, 5000, 14_000),
    answerMs: fc.constantFrom(40, 40, 1000),
    fault: fc.constantFrom<Fault>(...faults, 'relay-cut', 'parted'),
    lossShare: fc.constantFrom(0, 0, 0.1, 0.5),
    seconds: fc.constant(35),
  });
  await fc.assert(
    fc.asyncProperty(plays, (change) => assertKept(change)),
    { seed: 38, numRuns: 60, endOnFailure: true },
  );
});

test('rate limits are mostly used at a load of twice the limit', async () => {
  const underused: string[] = [];
  for (const entries of [7, 42, 100])
    for (const limitPerS of [1, 4])
      for (const { firstShare, atLeast } of [
        { firstShare: undefined, atLeast: 0.85 },
        { firstShare: 0.5, atLeast: 0.7 },
      ]) {
        const load = { endpoints: 3, callersPerS: 6 * limitPerS, firstShare };
        const { used } = await simulate({
          entries,
          limitAt: always(limitPerS),
          ...load,
          seconds: 66,
        });
        if (used < atLeast)
          underused.push(`${entries} entries, ${limitPerS}/s, ${firstShare}: ${used.toFixed(2)}`);
      }
  assert.deepEqual(underused, []);
});
