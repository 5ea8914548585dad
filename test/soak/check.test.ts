import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REVOKE_MS, violationsOf } from '../../bench/soak/check.js';
import type { Ask, AskEnd, SoakRecord } from '../../bench/soak/record.js';
import {
  eventData,
  plainAnswer,
  STREAM_EVENTS,
  type EndpointRun,
} from '../../fakes/platform-engine/index.js';

function end(change: Partial<AskEnd> = {}): AskEnd {
  return { atMs: 1100, status: 200, isSigned: true, body: '', isComplete: true, ...change };
}

function ask(id: string, change: Partial<Ask> = {}): Ask {
  return {
    id,
    kind: 'once',
    path: `/once/${id}`,
    body: `body of ${id}`,
    key: 'k-0',
    entry: 'entry-0',
    sentAtMs: 1000,
    end: end({ body: plainAnswer(id) }),
    ...change,
  };
}

function run(requestId: string, change: Partial<EndpointRun> = {}): EndpointRun {
  return {
    endpoint: 'plain-0',
    requestId,
    path: `/once/${requestId}`,
    body: `body of ${requestId}`,
    organisation: 'org-1',
    startedAtMs: 1010,
    ...change,
  };
}

/** A clean run; its last requests show that service came back. */
function record(change: Partial<SoakRecord> = {}): SoakRecord {
  const late = Array.from({ length: 10 }, (_, i) => ask(`late-${i}`, { sentAtMs: 30_000 }));
  const base: SoakRecord = {
    seed: 1,
    asks: [ask('a'), ...late],
    runs: [run('a'), ...late.map(({ id }) => run(id, { startedAtMs: 30_010 }))],
    arrivals: [],
    asked: [],
    needs: [],
    disturbances: [],
    withdrawals: [],
    additions: [],
    falls: [],
    organisations: { 'k-0': 'org-1', 'k-1': 'org-1' },
    mixedSteps: [],
    longestHoldMs: 40,
    badEnds: [],
    calmFromMs: 20_000,
  };
  return {
    ...base,
    ...change,
    asks: [...base.asks, ...(change.asks ?? [])],
    runs: [...base.runs, ...(change.runs ?? [])],
  };
}

function streamBody(id: string, ids: readonly number[]): string {
  return ids.map((n) => `id: ${n}\ndata: ${eventData(id, n)}\n\n`).join('');
}
const ALL = Array.from({ length: STREAM_EVENTS }, (_, i) => i + 1);

function stream(id: string, ids: readonly number[], isComplete: boolean): Partial<SoakRecord> {
  const change = { kind: 'stream' as const, path: `/stream/${id}` };
  return {
    asks: [ask(id, { ...change, end: end({ body: streamBody(id, ids), isComplete }) })],
    runs: [run(id, { path: change.path })],
  };
}

test('a run that keeps all promises is clean, also with refusals, cut streams and late events', () => {
  assert.deepEqual(violationsOf(record()), []);
  assert.deepEqual(violationsOf(record(stream('s', ALL, true))), []);
  assert.deepEqual(violationsOf(record(stream('s', ALL.slice(0, 4), false))), []);
  const refused = ask('r', { end: end({ status: 503, isSigned: false, body: 'busy' }) });
  assert.deepEqual(violationsOf(record({ asks: [refused] })), []);
});

const BROKEN: readonly (readonly [string, Partial<SoakRecord>, RegExp])[] = [
  [
    'an answer of another request',
    { asks: [ask('x', { end: end({ body: plainAnswer('y') }) })], runs: [run('x')] },
    /x: not its own answer/,
  ],
  [
    'a success without signature',
    {
      asks: [ask('x', { end: end({ body: plainAnswer('x'), isSigned: false }) })],
      runs: [run('x')],
    },
    /without signature/,
  ],
  ['a stream that lacks an event', stream('x', [1, 2, 4], false), /not its own stream/],
  ['a stream that looks whole early', stream('x', [1, 2, 3], true), /not its own stream/],
  ['a stream with an event twice', stream('x', [1, 1, 2], false), /not its own stream/],
  ['a run that nobody asked for', { runs: [run('x')] }, /no caller sent it/],
  [
    'a body that was altered',
    { asks: [ask('x')], runs: [run('x', { body: 'other' })] },
    /ran altered/,
  ],
  [
    'another organisation',
    { asks: [ask('x')], runs: [run('x', { organisation: 'org-2' })] },
    /ran as org-2/,
  ],
  [
    'a key that never was one',
    { asks: [ask('x', { key: 'k-never' })], runs: [run('x')] },
    /never was one/,
  ],
  ['a second run', { asks: [ask('x')], runs: [run('x'), run('x')] }, /x: ran 2 times/],
  [
    'a refusal of what ran',
    { asks: [ask('x', { end: end({ status: 503 }) })], runs: [run('x')] },
    /answered 503, and ran/,
  ],
  [
    'a key after its end, disturbed or not',
    {
      asks: [ask('x', { key: 'k-1', sentAtMs: 1000 + REVOKE_MS + 1 })],
      runs: [run('x', { startedAtMs: 6010 })],
      withdrawals: [{ what: 'key', name: 'k-1', atMs: 1000 }],
      disturbances: [{ kind: 'cut', target: 'entry-0', fromMs: 0, untilMs: 9000 }],
    },
    /after it was taken away/,
  ],
  [
    'a route after its end',
    {
      asks: [ask('x', { kind: 'repeatable', path: '/extra-1/x', sentAtMs: 4000 })],
      runs: [run('x', { path: '/extra-1/x', startedAtMs: 4010 })],
      withdrawals: [{ what: 'route', name: '/extra-1/', atMs: 1000 }],
    },
    /ran at route \/extra-1\/ after it was withdrawn/,
  ],
  [
    'a route that was added and is not served',
    {
      asks: [
        ask('x', {
          path: '/extra-1/x',
          sentAtMs: 4000,
          end: end({ status: 404, isSigned: false }),
        }),
      ],
      additions: [{ prefix: '/extra-1/', atMs: 1000 }],
    },
    /route \/extra-1\/ was not known after it was added/,
  ],
  [
    'an endpoint that has left',
    {
      asks: [ask('x', { sentAtMs: 4000 })],
      runs: [run('x', { startedAtMs: 4010, endpoint: 'plain-9' })],
      withdrawals: [{ what: 'endpoint', name: 'plain-9', atMs: 1000 }],
    },
    /ran at endpoint plain-9/,
  ],
  [
    'a cut by a planned stop',
    {
      asks: [ask('x', { end: end({ isComplete: false, body: 'ans' }) })],
      runs: [run('x')],
      disturbances: [{ kind: 'stop', target: 'entry-0', fromMs: 1050, untilMs: 3000 }],
    },
    /cut at entry-0 by planned work/,
  ],
  ['two maps in one step', { mixedSteps: [7] }, /step 7 began with two maps/],
  ['a group that stands still', { longestHoldMs: 9000 }, /stood still for 9000 ms/],
  ['a process that ends by itself', { badEnds: ['entry-0 ended by itself: 1'] }, /by itself/],
  [
    'service that does not come back',
    {
      asks: Array.from({ length: 20 }, (_, i) =>
        ask(`x${i}`, { sentAtMs: 31_000, end: end({ status: 503, isSigned: false }) }),
      ),
    },
    /only 10 of 30 served/,
  ],
];

for (const [what, change, violation] of BROKEN) {
  test(`the checker sees ${what}`, () => {
    const violations = violationsOf(record(change));
    assert.equal(violations.length, 1, violations.join('; '));
    assert.match(violations[0] ?? '', violation);
  });
}

test('what was harmed on its way binds nobody', () => {
  const harmed: Partial<SoakRecord> = {
    asks: [ask('x', { sentAtMs: 4000 })],
    runs: [run('x', { startedAtMs: 4010, endpoint: 'plain-9' })],
    withdrawals: [{ what: 'endpoint', name: 'plain-9', atMs: 1000 }],
    disturbances: [{ kind: 'store', target: 'store', fromMs: 900, untilMs: 2000 }],
  };
  assert.deepEqual(violationsOf(record(harmed)), []);
});

test('a request that goes on running after it has crashed three endpoints is told', () => {
  const path = '/again/crash';
  const falls = [1000, 2000, 3000].map((atMs) => ({ path, atMs }));
  const runs = (count: number, startedAtMs: number): EndpointRun[] =>
    Array.from({ length: count }, (_, i) => run(`c-${i}`, { path, body: path, startedAtMs }));
  const asks = Array.from({ length: 4 }, (_, i) =>
    ask(`c-${i}`, { kind: 'repeatable', path, body: path, end: undefined }),
  );
  const violations = (startedAtMs: number, count: number): string[] =>
    violationsOf(record({ asks, falls, runs: runs(count, startedAtMs) }));
  assert.deepEqual(violations(6100, 4), [
    `${path}: ran 4 times after it had crashed three endpoints`,
  ]);
  assert.deepEqual(violations(6100, 3), []);
  assert.deepEqual(violations(5900, 4), [], 'entries were not bound yet');
});

test('another request that is refused as one that crashes endpoints is told', () => {
  const refusal = end({ status: 503, body: '{"reason":"crashes-endpoints"}' });
  const asks = [ask('b', { end: refusal })];
  assert.deepEqual(violationsOf(record({ asks })), ['b: refused as one that crashes endpoints']);
  const falls = [{ path: '/once/b', atMs: 500 }];
  assert.deepEqual(violationsOf(record({ asks, falls })), []);
});
