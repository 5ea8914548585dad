/**
 * The endpoints of a data centre return together while the others are loaded. Every entry then
 * prefers the returned ones, as they are idle: 33 entries sent each of them more than it bears, and
 * they fell over again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ColdEndpoints, type RateLimiter } from '../../../src/core/backpressure/index.js';
import { seededRandom, type Clock } from '../../../src/core/clock/index.js';
import { asId, type EndpointId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import {
  PublishedState,
  type ColdStart,
  type DataCentreId,
  type PublishedEndpoint,
} from '../../../src/core/published/index.js';
import { Endpoints } from '../../../src/gateway/endpoints/endpoints.js';
import { endpoint, SERVICE } from '../harness.js';

const COLD_START: ColdStart = { durationMs: 3000, perS: 26 };
const BOUND = 1.5 * COLD_START.perS + 5;
const ENTRIES = 33;
const RANKS_PER_DATA_CENTRE = 24;
/** Requests/s of all entries, and requests in flight from each entry at each loaded endpoint. */
const LOAD_PER_S = 2400;
const BUSY = 40;
const STEP_MS = 5;
/** Time for which a request runs, ms. */
const SERVICE_MS = 150;

const listed = ['a', 'b', 'c'].flatMap((dataCentre) =>
  Array.from({ length: RANKS_PER_DATA_CENTRE }, (_, i) => ({
    ...endpoint(`${dataCentre}-${i}`, `10.0.0.1:${i + 1}`),
    dataCentre: asId<DataCentreId>(dataCentre),
  })),
);
const returned = listed.filter((e) => e.dataCentre === 'c');
const others = listed.filter((e) => e.dataCentre !== 'c');

const unlimited: RateLimiter = {
  nextTokenAtMs: (nowMs) => nowMs,
  acquire: () => Promise.resolve(true),
};

interface Entry {
  readonly endpoints: Endpoints;
  readonly state: PublishedState;
}

function startEntry(clock: Clock, seed: number, coldStart: ColdStart | undefined): Entry {
  const state = new PublishedState();
  const random = seededRandom(seed);
  const cold = new ColdEndpoints({
    clock,
    random,
    coldStartOf: () => coldStart,
    countKnown: () => ENTRIES,
    onCold: () => undefined,
  });
  const endpoints = new Endpoints({
    state,
    clock,
    random,
    cold,
    log: silentLog,
    metrics: new Metrics(),
    dataCentre: asId(['a', 'b', 'c'][seed % 3] ?? 'a'),
    limiterOf: () => unlimited,
    statusOf: () => ({ pace: 1, load: 0, meanLoad: 0, countedAtMs: clock.nowMs() }),
  });
  state.offerList(others, false);
  endpoints.noteListed();
  for (let i = 0; i < BUSY * others.length; i += 1) {
    const chosen = endpoints.choose(asId(SERVICE), new Set());
    if (chosen) endpoints.noteSent(chosen);
  }
  return { endpoints, state };
}

/** Returns the highest number of requests in a second at any returned endpoint, and the total. */
async function replay(
  coldStart: ColdStart | undefined,
  records: readonly PublishedEndpoint[],
  heardAfterMs: (entry: number) => number,
): Promise<{ most: number; total: number; elsewhere: number }> {
  let nowMs = 1000;
  const clock: Clock = { nowMs: () => nowMs, wallMs: () => nowMs };
  const entries = Array.from({ length: ENTRIES }, (_, i) => startEntry(clock, i, coldStart));
  const arrivals = new Map<EndpointId, number[]>(returned.map(({ id }) => [id, []]));
  const ends: (() => void)[][] = [];
  let elsewhere = 0;
  let sent = 0;
  const startMs = nowMs;
  for (let step = 0; nowMs < startMs + COLD_START.durationMs; step += 1, nowMs += STEP_MS) {
    for (const end of ends[step] ?? []) end();
    entries.forEach(({ endpoints, state }, i) => {
      if (state.list.size === listed.length || nowMs < startMs + heardAfterMs(i)) return;
      state.offerList([...others, ...records], false);
      endpoints.noteListed();
    });
    for (; sent < ((nowMs - startMs) * LOAD_PER_S) / 1000; sent += 1) {
      const endpoints = entries[sent % ENTRIES]?.endpoints;
      const chosen = endpoints?.choose(asId(SERVICE), new Set());
      if (!endpoints || !chosen || !(await chosen.gate.acquire())) continue;
      const sentAtMs = endpoints.noteSent(chosen);
      const endStep = step + SERVICE_MS / STEP_MS;
      (ends[endStep] ??= []).push(() => endpoints.noteEnded(chosen, sentAtMs));
      const times = arrivals.get(chosen.endpoint.id);
      if (times) times.push(nowMs);
      else elsewhere += 1;
    }
  }
  for (const { endpoints } of entries) endpoints.close();
  const most = Math.max(...[...arrivals.values()].map(maxPerSecond));
  const total = [...arrivals.values()].reduce((sum, times) => sum + times.length, 0);
  return { most, total, elsewhere };
}

function maxPerSecond(timesMs: readonly number[]): number {
  return Math.max(
    0,
    ...timesMs.map((from) => timesMs.filter((at) => at >= from && at < from + 1000).length),
  );
}

test('without a known cold start, the returned endpoints get more than cold ones bear', async () => {
  const { most } = await replay(undefined, returned, () => 0);
  assert.ok(most > BOUND, `${most} of ${BOUND}`);
});

test('33 entries keep to the rate of 24 endpoints that return together, and use the others', async () => {
  const { most, total, elsewhere } = await replay(COLD_START, returned, (i) => 20 * i);
  assert.ok(most <= BOUND, `${most} of ${BOUND}`);
  assert.ok(
    total > 0 && elsewhere > 0,
    `${total} at the returned endpoints, ${elsewhere} elsewhere`,
  );
});

test('the rate is kept when the record of a cold endpoint says so', async () => {
  const records = returned.map((e) => ({ ...e, coldRemainingMs: 3000 }));
  const { most } = await replay(COLD_START, records, () => 0);
  assert.ok(most <= BOUND, `${most} of ${BOUND}`);
});
