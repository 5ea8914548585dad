import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseLine } from '../../src/cli/account/log-lines.js';
import { readEndedRequest } from '../../src/cli/account/request-ends.js';
import { aggregateBySpan, formatReasons, formatSpans } from '../../src/cli/account/tables.js';
import { formatLine } from '../../src/core/logging/index.js';

const AT = '2026-01-01T00:00:10.000Z';

/** The end decoded from a `request.end` line with the given pairs. */
function endOf(pairs: Record<string, string | number | boolean>): string | undefined {
  const line = formatLine({ time: AT, event: 'request.end', tookMs: 500, ...pairs });
  const parsed = parseLine(`12.3 front-1 ${line}`);
  return parsed && readEndedRequest(parsed)?.end;
}

test('a formatted log line is parsed back, whatever its values contain', () => {
  fc.assert(
    fc.property(fc.string(), fc.string(), (detail, request) => {
      const parsed = parseLine(formatLine({ event: 'request.end', detail, request }));
      assert.deepEqual({ ...parsed }, { event: 'request.end', detail, request });
    }),
  );
  assert.equal(parseLine('no pairs here'), undefined);
  assert.equal(parseLine('event=request.end detail="cut of')?.['detail'], 'cut of');
});

test('a request.end line is classified by how the request ended for the caller', () => {
  const stream = {
    outcome: 'answered',
    firstMs: 200,
    longestPauseMs: 100,
    targetMs: 500,
    gapMs: 120,
  };
  assert.equal(endOf(stream), 'in time');
  assert.equal(endOf({ ...stream, firstMs: 501 }), 'late: first event');
  assert.equal(endOf({ ...stream, longestPauseMs: 121 }), 'late: pause');
  assert.equal(endOf({ ...stream, returning: true }), 'late: came back');
  assert.equal(endOf({ outcome: 'answered', targetMs: 400 }), 'late: first event');
  assert.equal(endOf({ outcome: 'busy' }), 'refused');
  assert.equal(endOf({ outcome: 'busy', returning: true }), 'refused again');
  assert.equal(endOf({ outcome: 'time-over' }), 'failed');
  assert.equal(endOf({ outcome: 'cut' }), 'cut');
  assert.equal(endOf({ outcome: 'gone' }), 'caller left');
  assert.equal(readEndedRequest({ event: 'group.switch' }), undefined);
});

test('request ends are counted by arrival time, beside the group samples of that time', () => {
  const end = (arrivedAtMs: number, result: 'in time' | 'refused') => ({
    arrivedAtMs,
    end: result,
    reason: result === 'refused' ? 'busy' : 'answered',
  });
  const requests = [end(1000, 'in time'), end(2900, 'refused'), end(3100, 'in time')];
  const samples = [
    { atMs: 1500, skew: 1.2 },
    { atMs: 1600, skew: 3.1, running: 40, stepMs: 144 },
    { atMs: 1700, roundResult: 'switched' as const },
    { atMs: 1800, roundResult: 'blocked' as const },
    { atMs: 1900, roundResult: 'kept' as const },
  ];
  const spans = aggregateBySpan(requests, samples, 2);
  assert.deepEqual(
    spans.map((span) => [span.fromS, span.counts.get('in time'), span.counts.get('refused')]),
    [
      [0, 1, 1],
      [2, 1, undefined],
    ],
  );
  assert.equal(spans[0]?.skew, 3.1);
  assert.equal(spans[0]?.running, 40);
  assert.deepEqual(
    [spans[0]?.stepMs, spans[0]?.maps, spans[0]?.failedRounds, spans[1]?.maps],
    [144, 1, 1, 0],
  );
  assert.match(formatSpans(spans), /3\.10/);
  assert.match(formatReasons(requests), /0\.333\s+1\s+refused \(busy\)/);
});
