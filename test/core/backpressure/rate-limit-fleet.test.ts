/** Rate limits across many entries, simulated in virtual time with the real components. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  constantLimit,
  intermittentLimit,
  alternatingLimit,
} from '../../../bench/rate-limits/cases.js';
import { createEntry } from '../../../bench/rate-limits/entry.js';
import {
  simulateFleet,
  type Fault,
  type FleetResult,
  type FleetScenario,
} from '../../../bench/rate-limits/fleet.js';

const SCENARIO: FleetScenario = {
  seed: 1,
  entries: 42,
  relays: 3,
  endpoints: 1,
  limitAt: constantLimit(4),
  requestsPerS: 100,
  responseDelayMs: 40,
  fault: 'none',
  durationS: 50,
};

const simulate = (overrides: Partial<FleetScenario>): Promise<FleetResult> =>
  simulateFleet({ ...SCENARIO, ...overrides }, createEntry);

async function assertKept(overrides: Partial<FleetScenario>): Promise<void> {
  const { maxInWindow, excess } = await simulate(overrides);
  assert.ok(excess <= 0, `${maxInWindow} requests in 4 s, ${excess.toFixed(1)} over the bound`);
}

const BURSTS = { requestsPerS: 250, idlePeriodMs: 14_000 } as const;
const LARGE = { entries: 100, requestsPerS: 600 } as const;
const LOW = {
  entries: 7,
  limitAt: constantLimit(0.2),
  ...BURSTS,
  requestsPerS: 42,
  durationS: 70,
} as const;

/** Cases in which entries know least about one another or about the limit. */
const CASES: Readonly<Record<string, Partial<FleetScenario>>> = {
  '100 entries, steady load': LARGE,
  '42 idle entries resume at once': BURSTS,
  'responses begin seconds after idle entries resume': { ...BURSTS, responseDelayMs: 3000 },
  'all relays restart together': { ...LARGE, fault: 'relays-restart' },
  'all relays are suspended': {
    ...BURSTS,
    fault: 'relays-suspended',
    idlePeriodMs: 5000,
    durationS: 70,
  },
  '0.2 requests/s, slow responses, seed 7': { ...LOW, responseDelayMs: 3000, seed: 7 },
  '0.2 requests/s, slow responses, seed 17': { ...LOW, responseDelayMs: 3000, seed: 17 },
  'no relay at all': { ...BURSTS, relays: 0 },
};

test('rate limits hold while entries are idle, relays restart, or no relay can be reached', async () => {
  const violations: string[] = [];
  for (const [name, overrides] of Object.entries(CASES)) {
    const { maxInWindow, excess } = await simulate(overrides);
    if (excess > 0) violations.push(`${name}: ${maxInWindow} requests in 4 s`);
  }
  assert.deepEqual(violations, []);
});

test('rate limits hold under random faults, sizes, loads and lost updates', async () => {
  const faults: Fault[] = ['none', 'rolling-restart', 'relays-restart', 'relays-suspended'];
  const scenarios = fc.record({
    seed: fc.nat(),
    entries: fc.constantFrom(7, 7, 7, 42, 100),
    relays: fc.constantFrom(1, 2, 3, 3),
    endpoints: fc.constantFrom(1, 3),
    limitAt: fc.oneof(
      fc.constantFrom(0, 0.2, 1, 2.3, 4).map(constantLimit),
      fc
        .tuple(fc.constantFrom(1, 4), fc.constantFrom(7000, 9000))
        .map((of) => intermittentLimit(...of)),
      fc
        .tuple(fc.constantFrom(1, 4), fc.constantFrom(7000, 9000))
        .map((of) => alternatingLimit(...of)),
    ),
    requestsPerS: fc.constantFrom(5, 40, 120),
    busiestEntryShare: fc.constantFrom(undefined, undefined, 0.5),
    idlePeriodMs: fc.constantFrom(undefined, 5000, 14_000),
    responseDelayMs: fc.constantFrom(40, 40, 1000),
    fault: fc.constantFrom<Fault>(...faults, 'relay-unreachable', 'partition'),
    lossRatio: fc.constantFrom(0, 0, 0.1, 0.5),
    durationS: fc.constant(35),
  });
  await fc.assert(
    fc.asyncProperty(scenarios, (overrides) => assertKept(overrides)),
    { seed: 38, numRuns: 60, endOnFailure: true },
  );
});

test('rate limits are mostly used at a load of twice the limit', async () => {
  const underused: string[] = [];
  for (const entries of [7, 42, 100])
    for (const limitPerS of [1, 4])
      for (const { busiestEntryShare, atLeast } of [
        { busiestEntryShare: undefined, atLeast: 0.85 },
        { busiestEntryShare: 0.5, atLeast: 0.7 },
      ]) {
        const load = { endpoints: 3, requestsPerS: 6 * limitPerS, busiestEntryShare };
        const { utilisation } = await simulate({
          entries,
          limitAt: constantLimit(limitPerS),
          ...load,
          durationS: 66,
        });
        if (utilisation < atLeast)
          underused.push(
            `${entries} entries, ${limitPerS}/s, ${busiestEntryShare}: ${utilisation.toFixed(2)}`,
          );
      }
  assert.deepEqual(underused, []);
});
