import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../src/core/clock/index.js';
import { asId } from '../../src/core/ids/index.js';
import type { RouteId } from '../../src/core/published/index.js';
import { ReturningCallers } from '../../src/gateway/returning.js';

const ROUTE = asId<RouteId>('r-1');

test('who waits much less than others of its route has been here before', () => {
  const callers = new ReturningCallers();
  assert.equal(callers.isReturning(ROUTE, 8017, 0), false);
  assert.equal(callers.isReturning(ROUTE, 8010, 0), false);
  assert.equal(callers.isReturning(ROUTE, 5600, 0), true);
  assert.equal(callers.isReturning(asId<RouteId>('r-2'), 5600, 0), false, 'routes differ');
});

/** Callers of one entry: fresh ones wait 8 s times a share, and those who came back a second or two less. */
interface Load {
  /** Least patience of a fresh caller. */
  readonly patience: number;
  /** Share of callers that are refused, after the first minute. */
  readonly refused: number;
}

/** Shares of fresh callers that are taken for such as came back, and of those who came back that are found. */
function play({ patience, refused }: Load, seed: number): { misjudged: number; found: number } {
  const random = seededRandom(seed);
  const callers = new ReturningCallers();
  const waits = (): number => 8000 * (patience + (1 - patience) * random());
  const counts = { fresh: 0, misjudged: 0, came: 0, found: 0 };
  let nowMs = 0;
  for (let i = 0; i < 600; i += 1) {
    nowMs += 250;
    const isWarm = i >= 240;
    const isRefused = isWarm && random() < refused;
    const isTaken = callers.isReturning(ROUTE, waits(), nowMs);
    if (isWarm) counts.fresh += 1;
    if (isWarm && isTaken) counts.misjudged += 1;
    if (!isRefused) continue;
    callers.noteRefused(nowMs);
    counts.came += 1;
    const backMs = 1000 + 1500 * random();
    if (callers.isReturning(ROUTE, waits() - backMs, nowMs + backMs)) counts.found += 1;
  }
  return {
    misjudged: counts.misjudged / counts.fresh,
    found: counts.came === 0 ? 1 : counts.found / counts.came,
  };
}

function mean(load: Load): { misjudged: number; found: number } {
  const all = Array.from({ length: 20 }, (_, seed) => play(load, seed));
  const of = (key: 'misjudged' | 'found'): number =>
    all.reduce((sum, each) => sum + each[key], 0) / all.length;
  return { misjudged: of('misjudged'), found: of('found') };
}

/**
 * Benchmark, mean of 20 seeds. Load: four callers a second, fresh ones wait 0.85 to 1.0 of 8 s, a tenth is refused and comes back
 * 1.0 to 2.5 s later. Before, with nine tenths of the longest wait as the mark: 0.33 of the fresh ones were taken for such as
 * came back, and all of those were found. After: 0.00 and 0.97.
 */
test('fresh callers of little patience are told from those who came back', () => {
  const { misjudged, found } = mean({ patience: 0.85, refused: 0.1 });
  assert.ok(misjudged <= 0.06, `${misjudged} of the fresh ones`);
  assert.ok(found >= 0.9, `${found} of those who came back`);
});

test('where all fresh callers wait alike, nobody is misjudged and everybody is found', () => {
  for (const refused of [0, 0.1, 0.5])
    assert.deepEqual(mean({ patience: 1, refused }), { misjudged: 0, found: 1 });
});

test('also where half of all are refused, who came back is found', () => {
  const { misjudged, found } = mean({ patience: 0.85, refused: 0.5 });
  assert.ok(misjudged <= 0.06, `${misjudged} of the fresh ones`);
  assert.ok(found >= 0.9, `${found} of those who came back`);
});
