import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  RANK_POLICIES,
  simulateRanks,
  type RankPolicy,
  type RankScenario,
} from '../../../bench/decisions/rank-model.js';
import { seededRandom } from '../../../src/core/clock/index.js';
import {
  RANK_TIER,
  chooseRank,
  expectedOthers,
  expectedWork,
  isKnownFull,
  type RankCandidate,
} from '../../../src/core/routing/index.js';

const MODEL = { perRequestMs: 1.5, stepsPerPass: 5, promptTokensPerMs: 60 };

function candidate(change: Partial<RankCandidate> = {}): RankCandidate {
  return {
    tier: RANK_TIER.usable,
    isFar: false,
    own: 0,
    work: 0,
    weight: 1,
    lastUsed: 0,
    ...change,
  };
}

test('streams of others fade from the counted number to the mean, and own ones are not counted twice', () => {
  const count = { load: 6, meanLoad: 3, ageMs: 0, ownThen: 2 };
  assert.equal(expectedOthers(count), 4);
  const old = expectedOthers({ ...count, ageMs: 3000 });
  assert.ok(old > 3 && old < 3.2, String(old));
  assert.equal(expectedOthers({ load: 0, meanLoad: 0, ageMs: 0, ownThen: 2 }), 0);
});

test('a prompt that is still being read counts as the streams that lengthen a pass as much', () => {
  const load = { own: 1, unreadTokens: 900, count: undefined };
  assert.equal(expectedWork(load, MODEL), 1 + 2);
  assert.equal(expectedWork(load, { ...MODEL, promptTokensPerMs: 0 }), 1);
});

test('a rank is known to be full only by a recent count, corrected by own streams since', () => {
  const count = { load: 6, meanLoad: 3, ageMs: 300, ownThen: 1 };
  assert.equal(isKnownFull({ own: 1, unreadTokens: 0, count }, 7), false);
  assert.equal(isKnownFull({ own: 2, unreadTokens: 0, count }, 7), true);
  assert.equal(
    isKnownFull({ own: 2, unreadTokens: 0, count: { ...count, ageMs: 1500 } }, 7),
    false,
  );
  assert.equal(isKnownFull({ own: 9, unreadTokens: 0, count: undefined }, 7), false);
});

test('a rank is never chosen while one of a better tier is left', () => {
  const tier = fc.constantFrom(...Object.values(RANK_TIER));
  const anyCandidate = fc.record({
    tier,
    isFar: fc.boolean(),
    own: fc.nat(9),
    work: fc.float({ min: 0, max: 30, noNaN: true }),
    weight: fc.float({ min: 1, max: 20, noNaN: true }),
    lastUsed: fc.nat(),
  });
  fc.assert(
    fc.property(fc.array(anyCandidate), fc.nat(), (candidates, seed) => {
      const chosen = chooseRank(candidates, seededRandom(seed));
      if (candidates.length === 0) return chosen === undefined;
      return chosen?.tier === Math.min(...candidates.map((c) => c.tier));
    }),
  );
});

test('a far rank is chosen only if it is better by three streams, or if near ranks are busier on average', () => {
  const near = [candidate({ work: 4 }), candidate({ work: 4, lastUsed: 1 })];
  const far = (work: number): RankCandidate => candidate({ isFar: true, work });
  assert.equal(chooseRank([...near, far(2.8)], seededRandom(1))?.isFar, false);
  assert.equal(chooseRank([...near, far(0.9)], seededRandom(1))?.isFar, true);
  const busy = Array.from({ length: 16 }, () => candidate({ work: 6 }));
  assert.equal(chooseRank([...busy, far(3.6)], seededRandom(1))?.isFar, true);
});

const BASE: RankScenario = {
  seed: 1,
  entries: 33,
  ranks: 72,
  arrivalsPerS: 200,
  ageMs: [300, 900],
  promptTokens: 700,
  isUnequal: false,
  missingShare: 0,
  slowShare: 0,
  seconds: 20,
};
const SEEDS = [1, 2, 3];
const before = RANK_POLICIES['own streams, least recently used'];
const now = RANK_POLICIES['two random of the fewest own'];

/** Entries that spread only their own streams put twice the mean on some ranks, and each pass waits for those. */
test('passes are no longer than with own streams alone, whether digests are recent or old', () => {
  for (const change of [
    { entries: 15 },
    { entries: 15, isUnequal: true },
    {},
    { ageMs: [2500, 3000] as const },
    { promptTokens: 1400, arrivalsPerS: 140 },
    { entries: 6, ranks: 12, arrivalsPerS: 33 },
  ]) {
    const meansOf = (policy: RankPolicy): { passMs: number; fullShare: number } => {
      const outcomes = SEEDS.map((seed) => simulateRanks({ ...BASE, ...change, seed }, policy));
      const mean = (field: 'passMs' | 'fullShare'): number =>
        outcomes.reduce((sum, one) => sum + one[field], 0) / SEEDS.length;
      return { passMs: mean('passMs'), fullShare: mean('fullShare') };
    };
    const [a, b] = [meansOf(before), meansOf(now)];
    const detail = JSON.stringify({ change, a, b });
    assert.ok(b.passMs < a.passMs * 1.01, detail);
    assert.ok(b.fullShare < a.fullShare + 0.01, detail);
  }
});

/** All entries know the same counts: if each sent to the least loaded rank, that one would receive everything. */
test('many entries with the same counts do not overload the rank with the least counted load', () => {
  const herd = simulateRanks(BASE, RANK_POLICIES['least expected work']);
  const { worst, fullShare } = simulateRanks(BASE, now);
  assert.ok(worst < 0.75 * herd.worst, `${worst} and ${herd.worst}`);
  assert.ok(fullShare < 0.5 * herd.fullShare, `${fullShare} and ${herd.fullShare}`);
});

test('requests move to other data centres when half of the near ranks are gone', () => {
  const scenario = { ...BASE, missingShare: 0.5, arrivalsPerS: 160 };
  const [a, b] = [simulateRanks(scenario, before), simulateRanks(scenario, now)];
  assert.ok(b.worst < 0.75 * a.worst, `${b.worst} and ${a.worst}`);
  assert.ok(b.farShare < 0.15, String(b.farShare));
});

test('no request is sent to a slow rank while ranks of normal speed have free slots', () => {
  const { slowShare } = simulateRanks({ ...BASE, slowShare: 0.4, arrivalsPerS: 30 }, now);
  assert.equal(slowShare, 0);
});
