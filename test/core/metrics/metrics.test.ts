import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatLine } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';

test('counters, gauges and histograms are printed in the Prometheus text format', () => {
  const metrics = new Metrics();
  metrics.count('refusals_total', { reason: 'leaving' }, 2);
  metrics.gauge('running', () => 3);
  for (const us of [100, 200, 300]) metrics.observe('request_us', us, { role: 'entry' });
  const text = metrics.print();
  assert.match(text, /^harrierglade_refusals_total\{reason="leaving"\} 2$/m);
  assert.match(text, /^harrierglade_running 3$/m);
  assert.match(text, /^harrierglade_request_us\{role="entry",quantile="0.5"\} 200$/m);
  assert.match(text, /^harrierglade_request_us_count\{role="entry"\} 3$/m);
});

test('negative and NaN observations are counted but not recorded', () => {
  const metrics = new Metrics();
  for (const bad of [-1, Number.NaN]) metrics.observe('request_us', bad);
  assert.equal(metrics.value('bad_observations_total', { name: 'request_us' }), 2);
});

test('label values cannot break a line, and log values with spaces are quoted', () => {
  const metrics = new Metrics();
  metrics.count('x_total', { label: 'a"b\nc' });
  assert.equal(metrics.print(), 'harrierglade_x_total{label="a_b_c"} 1\n');
  assert.equal(
    formatLine({ event: 'start', detail: 'two words', gone: undefined }),
    'event=start detail="two words"',
  );
});
