/** Tokens granted by relays. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { KnownLimits, TokenGrants } from '../../../src/core/backpressure/index.js';
import type { RateLimitTokenRequest } from '../../../src/generated/messages.types.js';

const clockAt = (atMs: number) => ({ atMs, nowMs: () => clock.atMs });
const clock = clockAt(0);

function grantsOf(shards: number): TokenGrants {
  return new TokenGrants({ clock, random: () => 0.5, limits: new KnownLimits(clock), shards });
}

function request(from: string, limitPerS: number, change: object = {}): RateLimitTokenRequest {
  const limit = { endpoint: 'e-1', startedAtMs: 7, limitPerS, namedAgoMs: 0, namedId: 1 };
  return { from, limit: { ...limit, ...change } };
}

test('a relay grants nothing right after its start', () => {
  clock.atMs = 1000;
  const grants = grantsOf(1);
  const denied = grants.take(request('entry-1', 4));
  assert.equal(denied.isGranted, false);
  assert.equal(denied.retryMs, 250);
  clock.atMs += 250;
  assert.ok(grants.take(request('entry-1', 4)).isGranted);
});

test('the grants of all relays stay within the bound of a limit for any timing of requests', () => {
  const plays = fc.record({
    limitPerS: fc.constantFrom(0, 0.2, 1, 4, 20),
    shards: fc.integer({ min: 1, max: 3 }),
    pausesMs: fc.array(fc.constantFrom(1, 5, 50, 400, 9000), { minLength: 300, maxLength: 300 }),
  });
  fc.assert(
    fc.property(plays, ({ limitPerS, shards, pausesMs }) => {
      clock.atMs = 0;
      const relays = Array.from({ length: shards }, () => grantsOf(shards));
      const grantedAtMs: number[] = [];
      for (const pauseMs of pausesMs) {
        clock.atMs += pauseMs;
        for (const relay of relays)
          while (relay.take(request('entry-1', limitPerS)).isGranted) grantedAtMs.push(clock.atMs);
      }
      const within = grantedAtMs.map(
        (fromMs) => grantedAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 4000).length,
      );
      assert.ok(Math.max(0, ...within) <= 1.5 * limitPerS * 4 + 5);
    }),
    { seed: 1 },
  );
});

test('denied entries request less often the more of them compete', () => {
  clock.atMs = 0;
  const grants = grantsOf(1);
  const first = grants.take(request('entry-0', 4)).retryMs ?? 0;
  let last = 0;
  for (let n = 1; n < 100; n += 1) last = grants.take(request(`entry-${n}`, 4)).retryMs ?? 0;
  assert.equal(first, 250);
  assert.equal(last, 6250);
});

test('an endpoint whose limit is 0 still gets occasional probes, whose answers show when the limit ends', () => {
  clock.atMs = 0;
  const grants = grantsOf(1);
  let granted = 0;
  for (; clock.atMs < 100_000; clock.atMs += 100)
    if (grants.take(request('entry-1', 0)).isGranted) granted += 1;
  assert.ok(granted >= 9 && granted <= 10, `${granted} granted`);
});

test('every token is granted once a limit has ended and its ramp is over', () => {
  clock.atMs = 0;
  const grants = grantsOf(1);
  grants.take(request('entry-1', 1));
  clock.atMs = 10_000;
  const ended = { namedAgoMs: 10_000, endedAgoMs: 5000, endedId: 2 };
  grants.take(request('entry-1', 1, ended));
  clock.atMs = 14_100;
  for (let n = 0; n < 50; n += 1) assert.ok(grants.take(request('entry-1', 1, ended)).isGranted);
});
