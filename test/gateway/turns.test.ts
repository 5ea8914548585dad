import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { systemClock } from '../../src/core/clock/index.js';
import { asId } from '../../src/core/ids/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import type { EngineInfo, RouteId } from '../../src/core/published/index.js';
import type { GroupSize } from '../../src/gateway/group-sight.js';
import { Turns } from '../../src/gateway/turns.js';

const ENGINE: EngineInfo = {
  slots: 8,
  layers: 4,
  slotsPerRank: 8,
  mostNew: 3,
  copyMs: 98,
  expertGb: 2.2,
  stepMs: 4.55,
  perRequestMs: 1.36,
};
const ROUTE = asId<RouteId>('r-1');
const never = new AbortController().signal;

function turnsOf(size: () => GroupSize | undefined): Turns {
  return new Turns({
    clock: systemClock,
    metrics: new Metrics(),
    service: 'model',
    engine: () => ENGINE,
    size,
  });
}

/** Failures in a row that make an outage. */
async function breakDown(turns: Turns): Promise<void> {
  turns.outage.noteBad(systemClock.nowMs());
  await wait(250);
  for (let i = 0; i < 4; i += 1) turns.outage.noteBad(systemClock.nowMs());
  assert.equal(turns.outage.refuses(systemClock.nowMs()), false, 'the first one is a probe');
}

test('places follow what was seen of the group, and are few while nothing is seen', () => {
  let size: GroupSize | undefined;
  const turns = turnsOf(() => size);
  assert.equal(turns.places, 6);
  size = { ranks: 12, running: 0, entries: 3 };
  assert.equal(turns.places, 18, 'a third of 36, and of half of what is free');
  size = { ranks: 12, running: 80, entries: 3 };
  assert.ok(turns.places < 6);
});

test('who waits much less than others of its route has been here before', () => {
  const turns = turnsOf(() => undefined);
  assert.equal(turns.isReturning(ROUTE, 8017), false);
  assert.equal(turns.isReturning(ROUTE, 8010), false);
  assert.equal(turns.isReturning(ROUTE, 5600), true);
  assert.equal(turns.isReturning(asId<RouteId>('r-2'), 5600), false, 'routes differ');
});

test('an outage is outlasted when it ends in time, and tried by one that waits', async () => {
  const turns = turnsOf(() => undefined);
  await breakDown(turns);
  const waiting = turns.outlast(3000, never);
  setTimeout(() => turns.outage.noteGood(), 60);
  assert.equal(await waiting, true);
  await breakDown(turns);
  const startedAtMs = systemClock.nowMs();
  assert.equal(await turns.outlast(3000, never), true, 'its turn to probe');
  assert.ok(systemClock.nowMs() - startedAtMs > 100);
});

test('an outage that lasts, or a caller that leaves, ends the wait', async () => {
  const turns = turnsOf(() => undefined);
  await breakDown(turns);
  assert.equal(await turns.outlast(80, never), false);
  const gone = new AbortController();
  const waiting = turns.outlast(5000, gone.signal);
  gone.abort();
  assert.equal(await waiting, false);
});
