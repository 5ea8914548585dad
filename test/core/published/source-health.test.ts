import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog, type LogFields } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import { SourceHealth } from '../../../src/core/published/source-health.js';

test('a lost source is logged once, with the time waited and the time since the last response', () => {
  const lines: (readonly [string, LogFields | undefined])[] = [];
  const recordLine = (event: string, fields?: LogFields): void => void lines.push([event, fields]);
  const metrics = new Metrics();
  let nowMs = 1000;
  const log = new SourceHealth({
    source: { name: 'store' },
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    log: { ...silentLog, info: recordLine, warn: recordLine },
    metrics,
  });
  assert.equal(log.noteSuccess(), 0);
  log.noteReceived();
  nowMs = 4200;
  log.noteFailure({ kind: 'timeout', detail: 'no response' }, 1000);
  nowMs = 5000;
  log.noteFailure({ kind: 'timeout', detail: 'no response' }, 4200);
  nowMs = 5100;
  assert.equal(log.noteSuccess(), 900);
  log.noteReceived();
  const [lost, regained] = lines;
  assert.deepEqual(lost, [
    'published.lost',
    { source: 'store', kind: 'timeout', detail: 'no response', waitedMs: 3200, heardAgoMs: 3200 },
  ]);
  assert.deepEqual(regained, [
    'published.regained',
    { source: 'store', awayMs: 900, failures: 2, heardAgoMs: 4100 },
  ]);
  assert.equal(lines.length, 2);
  assert.equal(metrics.value('published_read_failures_total', { kind: 'timeout' }), 2);
  assert.ok(metrics.quantile('published_silence_us', 1) >= 4_100_000);
});
