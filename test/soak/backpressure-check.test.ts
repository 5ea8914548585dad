/** The backpressure checker reports records in which signals were ignored, and no others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkBackpressure } from '../../bench/soak/backpressure-check.js';
import type { Disturbance, SoakRecord } from '../../bench/soak/record.js';
import type { EndpointArrival, EndpointSignal } from '../../fakes/platform-engine/index.js';

const ENDPOINT = 'plain-0';

interface Arrival {
  readonly atMs: number;
  readonly entry?: string;
  readonly signal?: Partial<EndpointSignal>;
}

/** A record of requests that reached one endpoint; each is sent at its arrival time. */
function recordOf(
  arrived: readonly Arrival[],
  overrides: Partial<Pick<SoakRecord, 'disturbances' | 'rateLimitPeriods'>> = {},
): SoakRecord {
  const arrivals: EndpointArrival[] = arrived.map(({ atMs }, i) => ({
    endpoint: ENDPOINT,
    requestId: `q-${i}`,
    atMs,
  }));
  const requests = arrived.map(({ atMs, entry = 'entry-0' }, i) => ({
    id: `q-${i}`,
    kind: 'repeatable' as const,
    path: '/again/x',
    body: '',
    key: 'k-0',
    entry,
    sentAtMs: atMs,
    deadlineMs: 3000,
    outcome: undefined,
  }));
  const signals = arrived.flatMap(({ atMs, signal }, i) =>
    signal
      ? [
          {
            endpoint: ENDPOINT,
            requestId: `q-${i}`,
            atMs,
            retryAfterMs: undefined,
            isLeaving: false,
            limitPerS: undefined,
            ...signal,
          },
        ]
      : [],
  );
  return {
    seed: 1,
    startedAt: '',
    requests,
    runs: [],
    arrivals,
    signals,
    surplus: [],
    rateLimitPeriods: [],
    disturbances: [],
    removals: [],
    addedRoutes: [],
    crashes: [],
    unreadAnswers: [],
    abandoned: [],
    organisations: {},
    mixedSteps: [],
    longestHoldMs: 0,
    unexpectedExits: [],
    faultsEndedAtMs: 0,
    ...overrides,
  };
}

const disturbance = (target: string, fromMs: number, untilMs: number): Disturbance => ({
  kind: 'pause',
  target,
  fromMs,
  untilMs,
});

const BACKOFF: Arrival = { atMs: 1000, signal: { retryAfterMs: 3000 } };
const at = (...times: number[]): Arrival[] => times.map((atMs) => ({ atMs }));

test('three requests during a backoff are a violation; two, requests in flight and later ones are not', () => {
  assert.equal(checkBackpressure(recordOf([BACKOFF, ...at(1600, 2000, 3900)])).length, 1);
  assert.deepEqual(checkBackpressure(recordOf([BACKOFF, ...at(1100, 1200, 1600, 2000, 4100)])), []);
});

test('a backoff applies to one entry, and a disturbance of that entry since then excuses it', () => {
  const others = at(1600, 1700, 2000).map((arrival) => ({ ...arrival, entry: 'entry-1' }));
  assert.deepEqual(checkBackpressure(recordOf([BACKOFF, ...others])), []);
  const arrived = [BACKOFF, ...at(1600, 2000, 3900)];
  const since = { disturbances: [disturbance('entry-0', 1500, 1550)] };
  assert.deepEqual(checkBackpressure(recordOf(arrived, since)), []);
  const before = { disturbances: [disturbance('entry-0', 100, 900)] };
  assert.equal(checkBackpressure(recordOf(arrived, before)).length, 1);
});

test('a request more than 2 s after a leaving signal is a violation by the entry that received it', () => {
  const notice: Arrival = { atMs: 1000, signal: { isLeaving: true } };
  assert.equal(checkBackpressure(recordOf([notice, ...at(3100)])).length, 1);
  assert.deepEqual(checkBackpressure(recordOf([notice, ...at(2900)])), []);
  assert.deepEqual(checkBackpressure(recordOf([notice, { atMs: 9000, entry: 'entry-1' }])), []);
});

/** Requests at a fixed interval, alternating between two entries; each response has a limit. */
function arrivalsWithLimit(everyMs: number): Arrival[] {
  return Array.from({ length: Math.floor(12_000 / everyMs) }, (_, i) => ({
    atMs: 1000 + i * everyMs,
    entry: `entry-${i % 2}`,
    signal: { limitPerS: 1 },
  }));
}

test('more than 1.5 times a rate limit plus five in 4 s, over all entries that received it, is a violation', () => {
  const rateLimitPeriods = [{ endpoint: ENDPOINT, limitPerS: 1, fromMs: 900, untilMs: 14_000 }];
  assert.equal(checkBackpressure(recordOf(arrivalsWithLimit(300), { rateLimitPeriods })).length, 1);
  assert.deepEqual(checkBackpressure(recordOf(arrivalsWithLimit(400), { rateLimitPeriods })), []);
  const disturbances = [disturbance('entry-0', 2000, 2500), disturbance('entry-1', 2000, 2500)];
  assert.deepEqual(
    checkBackpressure(recordOf(arrivalsWithLimit(300), { rateLimitPeriods, disturbances })),
    [],
  );
});
