/**
 * Cold endpoints fall over well above the rate that they bear. When the endpoints of a data centre
 * return together, every entry sees them as idle and sends all that it has: without a limit, each
 * of 24 endpoints got the whole load of 33 entries that the others had no room for.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  ColdEndpoints,
  coldShare,
  TokenBucket,
  type ColdReason,
} from '../../../src/core/backpressure/index.js';
import { seededRandom, type Clock } from '../../../src/core/clock/index.js';
import type { ColdStart, PublishedEndpoint } from '../../../src/core/published/index.js';
import { endpoint } from '../../gateway/harness.js';

const COLD_START: ColdStart = { durationMs: 3000, perS: 26 };
/** Time by which the assumed end of a cold start may be later than `durationMs`, ms. */
const MARGIN_MS = 300;
const bound = (perS: number): number => 1.5 * perS + 5;

/** Returns the highest number of the sorted times in any second. */
function maxPerSecond(timesMs: readonly number[]): number {
  let first = 0;
  let most = 0;
  timesMs.forEach((atMs, i) => {
    while ((timesMs[first] ?? 0) <= atMs - 1000) first += 1;
    most = Math.max(most, i - first + 1);
  });
  return most;
}

/** Sends whatever the shares of some entries allow, in steps of 10 ms, after a pause. */
function sendAll(perS: number, entries: number, random: () => number, pauseMs: number): number[] {
  const senders = Array.from({ length: entries }, () => ({
    share: coldShare(perS, entries, random()),
    bucket: new TokenBucket(random),
  }));
  for (const { share, bucket } of senders) bucket.nextTokenAtMs(share, 0);
  const sent: number[] = [];
  for (let nowMs = pauseMs; nowMs < pauseMs + 4000; nowMs += 10)
    for (const { share, bucket } of senders)
      while (bucket.nextTokenAtMs(share, nowMs) <= nowMs) {
        bucket.consume(share, nowMs);
        sent.push(nowMs);
      }
  return sent;
}

test('the shares of all entries together stay within the bound in any second, after a pause as well', () => {
  const cases = fc.record({
    perS: fc.integer({ min: 1, max: 60 }),
    used: fc.double({ min: 0.02, max: 1, noNaN: true }),
    seed: fc.nat(),
    pauseMs: fc.nat(5000),
  });
  fc.assert(
    fc.property(cases, ({ perS, used, seed, pauseMs }) => {
      const entries = Math.max(1, Math.floor(used * 0.9 * bound(perS)));
      const sent = sendAll(perS, entries, seededRandom(seed), pauseMs);
      assert.ok(maxPerSecond(sent) <= bound(perS), `${maxPerSecond(sent)} of ${bound(perS)}`);
    }),
    { numRuns: 60 },
  );
});

test('with more entries than may send at once, a part of them sends to each endpoint', () => {
  const random = seededRandom(3);
  const endpoints = 24;
  for (const entries of [45, 100, 300]) {
    let total = 0;
    for (let i = 0; i < endpoints; i += 1) {
      const sent = sendAll(COLD_START.perS, entries, random, 3000);
      const most = maxPerSecond(sent);
      assert.ok(most <= bound(COLD_START.perS), `${most} of ${entries} entries`);
      total += sent.length;
    }
    const meanPerS = total / endpoints / 4;
    assert.ok(meanPerS > COLD_START.perS / 2, `${meanPerS} requests/s of ${entries} entries`);
  }
});

interface Fixture {
  readonly cold: ColdEndpoints;
  readonly reasons: ColdReason[];
  nowMs: number;
}

function startCold(coldStart: ColdStart | undefined = COLD_START, entries = 33): Fixture {
  const clock: Clock = { nowMs: () => fixture.nowMs, wallMs: () => 1e12 + fixture.nowMs };
  const reasons: ColdReason[] = [];
  const cold = new ColdEndpoints({
    clock,
    random: seededRandom(1),
    coldStartOf: () => coldStart,
    countKnown: () => entries,
    onCold: (_, why) => reasons.push(why),
  });
  const fixture: Fixture = { cold, reasons, nowMs: 1000 };
  return fixture;
}

const A = endpoint('a', '10.0.0.1:1');
const B = endpoint('b', '10.0.0.2:1');
const at = (e: PublishedEndpoint, coldRemainingMs: number): PublishedEndpoint => ({
  ...e,
  coldRemainingMs,
});

test('endpoints of the first list are not cold, and one that joins later is for the time of a start', () => {
  const fixture = startCold();
  const { cold } = fixture;
  assert.deepEqual(cold.update([A]), []);
  assert.equal(cold.isCold(A), false);
  assert.deepEqual(cold.update([A, B]), [B]);
  assert.deepEqual([cold.isCold(A), cold.isCold(B)], [false, true]);
  fixture.nowMs += COLD_START.durationMs - 1;
  assert.equal(cold.isCold(B), true);
  fixture.nowMs += MARGIN_MS + 1;
  assert.equal(cold.isCold(B), false);
  assert.deepEqual(fixture.reasons, ['start']);
});

test('an endpoint that starts again under its id is cold, also if this entry started just after it', () => {
  const fixture = startCold();
  const again = { ...A, startedAtMs: 1e12 + 900 };
  fixture.cold.update([A]);
  assert.deepEqual(fixture.cold.update([again]), [again]);
  const { cold } = startCold();
  cold.update([again, B]);
  assert.deepEqual([cold.isCold(again), cold.isCold(B)], [true, false]);
});

test('the record makes an endpoint cold at any time, and the longest time counts', () => {
  const fixture = startCold();
  const { cold } = fixture;
  cold.update([A, B]);
  assert.deepEqual(cold.update([at(A, 5000), B]), [at(A, 5000)]);
  fixture.nowMs += 2000;
  cold.update([at(A, 1000), B]);
  fixture.nowMs += 2500;
  assert.equal(cold.isCold(A), true, 'a shorter time in a later record does not end it early');
  fixture.nowMs += 600;
  assert.equal(cold.isCold(A), false);
  cold.update([at(A, 1000), B]);
  assert.equal(cold.isCold(A), false, 'the same record read again says nothing new');
  cold.update([A, B]);
  cold.update([at(A, 1000), B]);
  assert.equal(cold.isCold(A), true, 'it is cold again');
  assert.deepEqual(fixture.reasons, ['record', 'record']);
});

test('an endpoint that was unreachable is cold before its record says so', () => {
  const fixture = startCold();
  const { cold } = fixture;
  cold.update([A]);
  cold.noteReached(A);
  assert.equal(cold.isCold(A), false);
  cold.noteUnreachable(A);
  fixture.nowMs += 4000;
  assert.equal(cold.isCold(A), true);
  cold.noteReached(A);
  fixture.nowMs += COLD_START.durationMs;
  assert.equal(cold.isCold(A), true);
  fixture.nowMs += MARGIN_MS;
  assert.equal(cold.isCold(A), false);
  cold.noteUnreachable(A);
  fixture.nowMs += 10_000;
  assert.equal(cold.isCold(A), false, 'an old failure does not limit it for ever');
});

test('endpoints of a service without a cold start are never limited', () => {
  const fixture = startCold({ durationMs: 3000, perS: 1 });
  const never = new ColdEndpoints({
    clock: { nowMs: () => 0, wallMs: () => 0 },
    random: () => 0.5,
    coldStartOf: () => undefined,
    countKnown: () => 0,
    onCold: () => assert.fail('reported as cold'),
  });
  never.update([A]);
  never.update([at(A, 5000), B]);
  never.noteUnreachable(A);
  assert.deepEqual([never.isCold(A), never.isCold(B), never.weightOf(B)], [false, false, 1]);
  assert.equal(fixture.cold.isCold(A), false);
});

test('the weight of an endpoint rises after it was cold', () => {
  const fixture = startCold();
  const { cold } = fixture;
  cold.update([A]);
  cold.update([A, B]);
  const weights: number[] = [];
  for (let i = 0; i <= 8; i += 1) {
    weights.push(cold.weightOf(B));
    fixture.nowMs += 1000;
  }
  assert.deepEqual(weights.slice(0, 4), [0.5, 0.5, 0.5, 0.5]);
  assert.deepEqual(
    weights,
    [...weights].sort((a, b) => a - b),
  );
  assert.equal(weights.at(-1), 1);
  assert.equal(cold.weightOf(A), 1);
});

test('a count of entries that is briefly low does not raise the share', () => {
  let entries = 33;
  const cold = new ColdEndpoints({
    clock: { nowMs: () => 0, wallMs: () => 0 },
    random: () => 0.5,
    coldStartOf: () => COLD_START,
    countKnown: () => entries,
    onCold: () => undefined,
  });
  cold.update([A]);
  cold.update([A, B]);
  const before = cold.shareOf(B, 0)?.perS ?? 0;
  entries = 2;
  assert.equal(cold.shareOf(B, 0)?.perS, before);
  assert.ok(before <= COLD_START.perS / 33);
});
