/** The checker of what endpoints ask for rejects records in which it was not heeded, and no others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asksAreHeeded } from '../../bench/soak/asks-check.js';
import type { Disturbance, SoakRecord } from '../../bench/soak/record.js';
import type { EndpointArrival, EndpointAsked } from '../../fakes/platform-engine/index.js';

const ENDPOINT = 'plain-0';

interface Came {
  readonly atMs: number;
  readonly entry?: string;
  readonly asked?: Partial<EndpointAsked>;
}

/** A record of requests that came to one endpoint, each sent when it came. */
function recordOf(
  came: readonly Came[],
  change: Partial<Pick<SoakRecord, 'disturbances' | 'needs'>> = {},
): SoakRecord {
  const arrivals: EndpointArrival[] = came.map(({ atMs }, i) => ({
    endpoint: ENDPOINT,
    requestId: `q-${i}`,
    atMs,
  }));
  const asks = came.map(({ atMs, entry = 'entry-0' }, i) => ({
    id: `q-${i}`,
    kind: 'repeatable' as const,
    path: '/again/x',
    body: '',
    key: 'k-0',
    entry,
    sentAtMs: atMs,
    end: undefined,
  }));
  const asked = came.flatMap(({ atMs, asked: what }, i) =>
    what
      ? [
          {
            endpoint: ENDPOINT,
            requestId: `q-${i}`,
            atMs,
            restMs: undefined,
            isLeaving: false,
            limitPerS: undefined,
            ...what,
          },
        ]
      : [],
  );
  return {
    seed: 1,
    asks,
    runs: [],
    arrivals,
    asked,
    needs: [],
    disturbances: [],
    withdrawals: [],
    additions: [],
    falls: [],
    organisations: {},
    mixedSteps: [],
    longestHoldMs: 0,
    badEnds: [],
    calmFromMs: 0,
    ...change,
  };
}

const disturbed = (target: string, fromMs: number, untilMs: number): Disturbance => ({
  kind: 'pause',
  target,
  fromMs,
  untilMs,
});

const REST: Came = { atMs: 1000, asked: { restMs: 3000 } };
const at = (...times: number[]): Came[] => times.map((atMs) => ({ atMs }));

test('three requests within a rest are too many, two are not, nor what was under way or came after it', () => {
  assert.equal(asksAreHeeded(recordOf([REST, ...at(1600, 2000, 3900)])).length, 1);
  assert.deepEqual(asksAreHeeded(recordOf([REST, ...at(1100, 1200, 1600, 2000, 4100)])), []);
});

test('a rest is asked of one entry, and what happened to it since excuses it', () => {
  const others = at(1600, 1700, 2000).map((came) => ({ ...came, entry: 'entry-1' }));
  assert.deepEqual(asksAreHeeded(recordOf([REST, ...others])), []);
  const came = [REST, ...at(1600, 2000, 3900)];
  const since = { disturbances: [disturbed('entry-0', 1500, 1550)] };
  assert.deepEqual(asksAreHeeded(recordOf(came, since)), []);
  const before = { disturbances: [disturbed('entry-0', 100, 900)] };
  assert.equal(asksAreHeeded(recordOf(came, before)).length, 1);
});

test('what was sent 2 s after an endpoint said that it leaves is too much, by whoever was told', () => {
  const told: Came = { atMs: 1000, asked: { isLeaving: true } };
  assert.equal(asksAreHeeded(recordOf([told, ...at(3100)])).length, 1);
  assert.deepEqual(asksAreHeeded(recordOf([told, ...at(2900)])), []);
  assert.deepEqual(asksAreHeeded(recordOf([told, { atMs: 9000, entry: 'entry-1' }])), []);
});

/** One request each so many ms, from two entries by turns, each answered with a limit. */
function limited(everyMs: number): Came[] {
  return Array.from({ length: Math.floor(12_000 / everyMs) }, (_, i) => ({
    atMs: 1000 + i * everyMs,
    entry: `entry-${i % 2}`,
    asked: { limitPerS: 1 },
  }));
}

test('more than half above a limit and five in 4 s are too many, of all entries that were told', () => {
  const needs = [{ endpoint: ENDPOINT, limitPerS: 1, fromMs: 900, untilMs: 14_000 }];
  assert.equal(asksAreHeeded(recordOf(limited(300), { needs })).length, 1);
  assert.deepEqual(asksAreHeeded(recordOf(limited(400), { needs })), []);
  const disturbances = [disturbed('entry-0', 2000, 2500), disturbed('entry-1', 2000, 2500)];
  assert.deepEqual(asksAreHeeded(recordOf(limited(300), { needs, disturbances })), []);
});
