import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../../../src/core/clock/index.js';
import {
  ArrivalForecast,
  expectedLeftoverPerS,
  leftoverPerS,
} from '../../../src/core/retry-schedule/index.js';

const PERIOD_MS = 13_000;
const wave = (atMs: number): number =>
  12.3 * (1 + 0.55 * Math.sin((2 * Math.PI * atMs) / PERIOD_MS));

/** Notes Poisson arrivals; returns the forecast after each half second. */
function feed(
  perS: (atMs: number) => number,
  untilMs: number,
  seed: number,
  onStep?: (forecast: ArrivalForecast, nowMs: number) => void,
): ArrivalForecast {
  const random = seededRandom(seed);
  const forecast = new ArrivalForecast();
  for (let nowMs = 0; nowMs < untilMs; nowMs += 1) {
    if (random() < perS(nowMs) / 1000) forecast.note(nowMs);
    if (nowMs % 500 === 0) onStep?.(forecast, nowMs);
  }
  return forecast;
}

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);

test('a wave is forecast better than by its present level, after three periods', () => {
  let [model, asNow] = [0, 0];
  for (const seed of SEEDS)
    feed(wave, 60_000, seed, (forecast, nowMs) => {
      if (nowMs < 3 * PERIOD_MS) return;
      const actual = wave(nowMs + 3000);
      model += (forecast.perS(nowMs, 3000) - actual) ** 2;
      asNow += (forecast.nowPerS(nowMs) - actual) ** 2;
    });
  assert.ok(model < 0.35 * asNow, `${model} of ${asNow}`);
});

test('a forecast of steady arrivals is not taken for a useful one', () => {
  let useful = 0;
  let steps = 0;
  for (const seed of SEEDS)
    feed(
      () => 12.3,
      80_000,
      seed,
      (forecast, nowMs) => {
        steps += 1;
        if (forecast.summary(nowMs).isUseful) useful += 1;
      },
    );
  assert.ok(useful < 0.03 * steps, `${useful} of ${steps}`);
});

test('a first burst does not make a useful forecast of bursts', () => {
  const useful = SEEDS.filter(
    (seed) =>
      feed((atMs) => (atMs > 15_000 && atMs < 21_000 ? 18 : 7.5), 21_000, seed).summary(21_000)
        .isUseful,
  );
  assert.ok(useful.length <= 4, `${useful.length} of ${SEEDS.length}`);
});

test('the record is dropped after a gap, and a clock that goes back is ignored', () => {
  const forecast = feed(wave, 40_000, 1);
  forecast.advance(39_000);
  assert.ok(forecast.perS(40_000, 1000) > 0);
  forecast.advance(120_000);
  assert.equal(forecast.perS(120_000, 1000), 0);
  assert.deepEqual(forecast.summary(120_000), { isUseful: false, errorPerS: undefined });
});

test('leftover slots fall with first tries and never become negative', () => {
  const rates = { releasesPerS: 12, reserved: 2, firstTryWaitMs: 50 };
  const leftover = [0, 6, 12, 18, 40].map((firstTriesPerS) =>
    leftoverPerS({ ...rates, firstTriesPerS }),
  );
  assert.deepEqual(
    leftover,
    [...leftover].sort((a, b) => b - a),
  );
  assert.equal(leftover[0], 12);
  assert.ok((leftover[2] ?? 0) > 1 && (leftover[2] ?? 0) < 3, String(leftover));
  assert.equal(leftover[4], 0);
  assert.ok(
    expectedLeftoverPerS({ ...rates, firstTriesPerS: 18 }, 5) >
      leftoverPerS({ ...rates, firstTriesPerS: 18 }),
  );
});
