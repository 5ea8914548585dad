/** Benchmark: who goes first, weighed on played callers who come back once when they are refused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import { turnTerms, type TurnCaller, type TurnTerms } from '../../../src/core/limits/index.js';

const PLACES = 50;
const SERVICE_MS = 1500;
const TARGET_MS = 500;
const PATIENCE_MS = 8000;
const RETRY_MS = { least: 1000, most: 2500 } as const;
/** Worth of a late answer, and what a second refusal costs, as shares of an answer in time. */
const LATE_WORTH = 0.25;
const REFUSED_AGAIN = -0.3;
const DAY_MS = 60_000;
/** Callers ask for this share of what the places bear, and for more in the first ten seconds. */
const USUAL_LOAD = 0.97;
const BURST_LOAD = 1.4;
const BURST_MS = 10_000;

type Policy = (caller: TurnCaller) => TurnTerms;

/** As it was before: who came back goes first, and waits longer. */
const returningFirst: Policy = (caller) => {
  const { isReturning, priority, targetMs, leftMs } = caller;
  const waitMs = Math.min(leftMs, targetMs * (isReturning ? 0.6 : 0.22));
  return { order: isReturning ? -1 : priority, waitMs };
};

interface Waiting {
  readonly isReturning: boolean;
  readonly firstAtMs: number;
  readonly order: number;
  readonly untilMs: number;
}

/** Plays a day in steps of a ms; the mean worth of callers whose first try came after `fromMs`. */
function meanWorth(policy: Policy, seed: number, fromMs: number): number {
  const random = seededRandom(seed);
  const endsAtMs: number[] = [];
  const returns: { readonly atMs: number; readonly firstAtMs: number }[] = [];
  let waiting: Waiting[] = [];
  let worth = 0;
  let callers = 0;
  const count = (firstAtMs: number, value: number): void => {
    if (firstAtMs < fromMs) return;
    worth += value;
    callers += 1;
  };
  const serve = (caller: Waiting, nowMs: number): void => {
    endsAtMs.push(nowMs + SERVICE_MS * (0.5 + random()));
    count(caller.firstAtMs, caller.isReturning ? LATE_WORTH : 1);
  };
  const refuse = (caller: Waiting, nowMs: number): void => {
    if (caller.isReturning) return count(caller.firstAtMs, REFUSED_AGAIN);
    const atMs = nowMs + RETRY_MS.least + random() * (RETRY_MS.most - RETRY_MS.least);
    returns.push({ atMs, firstAtMs: caller.firstAtMs });
  };
  const ask = (isReturning: boolean, firstAtMs: number, nowMs: number): void => {
    const leftMs = PATIENCE_MS - (nowMs - firstAtMs);
    const terms = policy({ isReturning, priority: 1, targetMs: TARGET_MS, leftMs });
    waiting.push({ isReturning, firstAtMs, order: terms.order, untilMs: nowMs + terms.waitMs });
    waiting.sort((a, b) => a.order - b.order);
  };
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += 1) {
    const load = nowMs < BURST_MS ? BURST_LOAD : USUAL_LOAD;
    if (random() < (load * PLACES) / SERVICE_MS) ask(false, nowMs, nowMs);
    for (let i = returns.length - 1; i >= 0; i -= 1) {
      const due = returns[i];
      if (!due || due.atMs > nowMs) continue;
      returns.splice(i, 1);
      ask(true, due.firstAtMs, nowMs);
    }
    for (let i = endsAtMs.length - 1; i >= 0; i -= 1)
      if ((endsAtMs[i] ?? 0) <= nowMs) endsAtMs.splice(i, 1);
    while (endsAtMs.length < PLACES && waiting.length > 0) serve(waiting.shift() as Waiting, nowMs);
    for (const caller of waiting) if (caller.untilMs <= nowMs) refuse(caller, nowMs);
    waiting = waiting.filter((caller) => caller.untilMs > nowMs);
  }
  return worth / callers;
}

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function meanOver(policy: Policy, fromMs: number): number {
  return SEEDS.reduce((sum, seed) => sum + meanWorth(policy, seed, fromMs), 0) / SEEDS.length;
}

// Mean worth of a caller over 8 seeds: 0.569 with those who came back first, 0.823 with fresh callers first; from
// second 20 on, when the burst is over, 0.685 and 0.892.
test('fresh callers first ends what a burst began; those who came back first keep it going', () => {
  const later = { before: meanOver(returningFirst, 20_000), after: meanOver(turnTerms, 20_000) };
  const day = { before: meanOver(returningFirst, 0), after: meanOver(turnTerms, 0) };
  assert.ok(later.after > later.before + 0.15, JSON.stringify(later));
  assert.ok(day.after > day.before + 0.2, JSON.stringify(day));
});
