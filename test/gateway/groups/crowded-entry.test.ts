/**
 * Guards against callers that are refused because nearly all new connections come to one entry for
 * some seconds: its even part of a group's slots is far less than what arrives there.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { simulateSlots } from './slot-simulation.js';

const STREAM_MS = 1200;
const CROWDED_FROM_MS = 10_000;
const CROWDED_UNTIL_MS = 20_000;
/** Time within which the crowded entry has to take over the slots of the others, ms. */
const CONTACT_MS = 3000;
/** Share of the connections that come to the crowded entry. */
const CROWDED_SHARE = 0.95;
/** Streams per rank that a group admits before any pause was recorded. */
const INITIAL_PER_RANK = 3;
/** Smallest part of the earlier share of first attempts that has to be served. */
const MIN_KEPT = 0.75;

/** Share of first attempts that were admitted in a span. */
function servedShare(
  seed: number,
  ranks: number,
  entries: number,
  load: number,
  spanMs: readonly [number, number],
): number {
  const { calls } = simulateSlots({
    seed,
    ranks,
    entries,
    perSecond: (load * ranks * INITIAL_PER_RANK * 1000) / STREAM_MS,
    streamMs: STREAM_MS,
    durationMs: CROWDED_UNTIL_MS,
    everyMs: 300,
    ageMs: 200,
    entryOf: (nowMs, random) =>
      nowMs >= CROWDED_FROM_MS && random() < CROWDED_SHARE ? 0 : Math.floor(random() * entries),
  });
  const [fromMs, untilMs] = spanMs;
  const first = calls.filter(({ atMs, isRetry }) => !isRetry && atMs >= fromMs && atMs < untilMs);
  return first.filter(({ isAdmitted }) => isAdmitted).length / first.length;
}

/** Ranks of the group, and entries before it. */
const SIZES = [
  [12, 7],
  [72, 33],
  [129, 99],
] as const;

function assertServedAsBefore(ranks: number, entries: number, load: number): void {
  for (const seed of [1, 2, 3]) {
    const before = servedShare(seed, ranks, entries, load, [4000, CROWDED_FROM_MS]);
    const during = servedShare(seed, ranks, entries, load, [
      CROWDED_FROM_MS + CONTACT_MS,
      CROWDED_UNTIL_MS,
    ]);
    const text = `${entries} entries, load ${load}, seed ${seed}: ${before.toFixed(2)} before, ${during.toFixed(2)} while crowded`;
    assert.ok(during >= MIN_KEPT * before, text);
  }
}

for (const [ranks, entries] of SIZES)
  test(`a crowded entry of ${entries} serves its callers as before at an ordinary load`, () => {
    assertServedAsBefore(ranks, entries, 0.6);
  });

test('a crowded entry serves its callers as before while the group is nearly full', () => {
  for (const [ranks, entries] of SIZES)
    for (const load of [0.9, 1.2]) assertServedAsBefore(ranks, entries, load);
});
