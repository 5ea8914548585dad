import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REVOKE_MS, violationsOf } from '../../bench/soak/check.js';
import type { CallerRequest, RequestOutcome, SoakRecord } from '../../bench/soak/record.js';
import {
  eventData,
  completeAnswer,
  LARGE_SUFFIX,
  STREAM_EVENTS,
  type EndpointExecution,
} from '../../fakes/platform-engine/index.js';

function end(change: Partial<RequestOutcome> = {}): RequestOutcome {
  return { atMs: 1100, status: 200, isSigned: true, body: '', isComplete: true, ...change };
}

function request(id: string, change: Partial<CallerRequest> = {}): CallerRequest {
  return {
    id,
    kind: 'once',
    path: `/once/${id}`,
    body: `body of ${id}`,
    key: 'k-0',
    entry: 'entry-0',
    sentAtMs: 1000,
    deadlineMs: 3000,
    outcome: end({ body: completeAnswer(id) }),
    ...change,
  };
}

function run(requestId: string, change: Partial<EndpointExecution> = {}): EndpointExecution {
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

/** A clean run; its last requests show that service recovered. */
function record(change: Partial<SoakRecord> = {}): SoakRecord {
  const late = Array.from({ length: 10 }, (_, i) => request(`late-${i}`, { sentAtMs: 30_000 }));
  const base: SoakRecord = {
    seed: 1,
    startedAt: '',
    requests: [request('a'), ...late],
    runs: [run('a'), ...late.map(({ id }) => run(id, { startedAtMs: 30_010 }))],
    arrivals: [],
    signals: [],
    surplus: [],
    rateLimitPeriods: [],
    disturbances: [],
    removals: [],
    addedRoutes: [],
    crashes: [],
    unreadAnswers: [],
    abandoned: [],
    organisations: { 'k-0': 'org-1', 'k-1': 'org-1' },
    mixedSteps: [],
    longestHoldMs: 40,
    unexpectedExits: [],
    faultsEndedAtMs: 20_000,
  };
  return {
    ...base,
    ...change,
    requests: [...base.requests, ...(change.requests ?? [])],
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
    requests: [request(id, { ...change, outcome: end({ body: streamBody(id, ids), isComplete }) })],
    runs: [run(id, { path: change.path })],
  };
}

test('a run that keeps all guarantees is clean, also with refusals and cut streams', () => {
  assert.deepEqual(violationsOf(record()), []);
  assert.deepEqual(violationsOf(record(stream('s', ALL, true))), []);
  assert.deepEqual(violationsOf(record(stream('s', ALL.slice(0, 4), false))), []);
  const refused = request('r', { outcome: end({ status: 503, isSigned: false, body: 'busy' }) });
  assert.deepEqual(violationsOf(record({ requests: [refused] })), []);
});

const VIOLATIONS: readonly (readonly [string, Partial<SoakRecord>, RegExp])[] = [
  [
    'an answer of another request',
    { requests: [request('x', { outcome: end({ body: completeAnswer('y') }) })], runs: [run('x')] },
    /x: not its own answer/,
  ],
  [
    'a success without signature',
    {
      requests: [request('x', { outcome: end({ body: completeAnswer('x'), isSigned: false }) })],
      runs: [run('x')],
    },
    /without signature/,
  ],
  ['a stream that lacks an event', stream('x', [1, 2, 4], false), /not its own stream/],
  ['a stream framed as complete too early', stream('x', [1, 2, 3], true), /not its own stream/],
  ['a stream with an event twice', stream('x', [1, 1, 2], false), /not its own stream/],
  ['a run that no caller requested', { runs: [run('x')] }, /no caller sent it/],
  [
    'an altered body',
    { requests: [request('x')], runs: [run('x', { body: 'other' })] },
    /ran altered/,
  ],
  [
    'a run for the wrong organisation',
    { requests: [request('x')], runs: [run('x', { organisation: 'org-2' })] },
    /ran as org-2/,
  ],
  [
    'a run with a key that was never issued',
    { requests: [request('x', { key: 'k-never' })], runs: [run('x')] },
    /never was one/,
  ],
  [
    'a second run of a request that may run once',
    { requests: [request('x')], runs: [run('x'), run('x')] },
    /x: ran 2 times/,
  ],
  [
    'a refusal of a request that ran',
    { requests: [request('x', { outcome: end({ status: 503 }) })], runs: [run('x')] },
    /answered 503, and ran/,
  ],
  [
    'use of a removed key, even during a disturbance',
    {
      requests: [request('x', { key: 'k-1', sentAtMs: 1000 + REVOKE_MS + 1 })],
      runs: [run('x', { startedAtMs: 6010 })],
      removals: [{ resource: 'key', name: 'k-1', atMs: 1000 }],
      disturbances: [{ kind: 'cut', target: 'entry-0', fromMs: 0, untilMs: 9000 }],
    },
    /after it was taken away/,
  ],
  [
    'use of a removed route',
    {
      requests: [request('x', { kind: 'repeatable', path: '/extra-1/x', sentAtMs: 4000 })],
      runs: [run('x', { path: '/extra-1/x', startedAtMs: 4010 })],
      removals: [{ resource: 'route', name: '/extra-1/', atMs: 1000 }],
    },
    /ran at route \/extra-1\/ after it was withdrawn/,
  ],
  [
    'an added route that is not served',
    {
      requests: [
        request('x', {
          path: '/extra-1/x',
          sentAtMs: 4000,
          outcome: end({ status: 404, isSigned: false }),
        }),
      ],
      addedRoutes: [{ prefix: '/extra-1/', atMs: 1000 }],
    },
    /route \/extra-1\/ was not known after it was added/,
  ],
  [
    'a run at an endpoint that has left',
    {
      requests: [request('x', { sentAtMs: 4000 })],
      runs: [run('x', { startedAtMs: 4010, endpoint: 'plain-9' })],
      removals: [{ resource: 'endpoint', name: 'plain-9', atMs: 1000 }],
    },
    /ran at endpoint plain-9/,
  ],
  [
    'a response cut by a planned stop',
    {
      requests: [request('x', { outcome: end({ isComplete: false, body: 'ans' }) })],
      runs: [run('x')],
      disturbances: [{ kind: 'stop', target: 'entry-0', fromMs: 1050, untilMs: 3000 }],
    },
    /cut at entry-0 by planned work/,
  ],
  ['different maps in one step', { mixedSteps: [7] }, /step 7 began with two maps/],
  [
    'an answer that an entry left unread',
    { unreadAnswers: [{ endpoint: 'model-0', fromMs: 4000, atMs: 6000 }] },
    /model-0: unread from 4000 to 6000 ms/,
  ],
  ['a stalled group', { longestHoldMs: 9000 }, /stood still for 9000 ms/],
  [
    'a process that exits by itself',
    { unexpectedExits: ['entry-0 exited by itself: 1'] },
    /by itself/,
  ],
  [
    'service that does not recover',
    {
      requests: Array.from({ length: 20 }, (_, i) =>
        request(`x${i}`, { sentAtMs: 31_000, outcome: end({ status: 503, isSigned: false }) }),
      ),
    },
    /only 10 of 30 served/,
  ],
];

for (const [what, change, violation] of VIOLATIONS) {
  test(`the checker reports ${what}`, () => {
    const violations = violationsOf(record(change));
    assert.equal(violations.length, 1, violations.join('; '));
    assert.match(violations[0] ?? '', violation);
  });
}

test('no violation is reported while the store is disturbed', () => {
  const disturbed: Partial<SoakRecord> = {
    requests: [request('x', { sentAtMs: 4000 })],
    runs: [run('x', { startedAtMs: 4010, endpoint: 'plain-9' })],
    removals: [{ resource: 'endpoint', name: 'plain-9', atMs: 1000 }],
    disturbances: [{ kind: 'store', target: 'store', fromMs: 900, untilMs: 2000 }],
  };
  assert.deepEqual(violationsOf(record(disturbed)), []);
});

test('the checker reports a request that keeps running after crashing three endpoints', () => {
  const path = '/again/crash';
  const crashes = [1000, 2000, 3000].map((atMs) => ({ path, atMs }));
  const runs = (count: number, startedAtMs: number): EndpointExecution[] =>
    Array.from({ length: count }, (_, i) => run(`c-${i}`, { path, body: path, startedAtMs }));
  const requests = Array.from({ length: 4 }, (_, i) =>
    request(`c-${i}`, { kind: 'repeatable', path, body: path, outcome: undefined }),
  );
  const violations = (startedAtMs: number, count: number): string[] =>
    violationsOf(record({ requests, crashes, runs: runs(count, startedAtMs) }));
  assert.deepEqual(violations(6100, 4), [`${path}: ran 4 times after crashing three endpoints`]);
  assert.deepEqual(violations(6100, 3), []);
  assert.deepEqual(violations(5900, 4), [], 'entries need not know of the crashes yet');
});

test('the checker counts requests below a crashing prefix together', () => {
  const crashes = [1000, 2000, 3000].map((atMs) => ({ path: '/again/part-1/', atMs }));
  const paths = Array.from({ length: 4 }, (_, i) => `/again/part-1/c-${i}`);
  const requests = paths.map((path, i) =>
    request(`c-${i}`, { kind: 'repeatable', path, body: path, outcome: undefined }),
  );
  const runs = paths.map((path, i) => run(`c-${i}`, { path, body: path, startedAtMs: 6100 }));
  assert.deepEqual(violationsOf(record({ requests, crashes, runs })), [
    '/again/part-1/: ran 4 times after crashing three endpoints',
  ]);
});

test('the checker reports a harmless request that is refused with crashes-endpoints', () => {
  const refusal = end({ status: 503, body: '{"reason":"crashes-endpoints"}' });
  const requests = [request('b', { outcome: refusal })];
  assert.deepEqual(violationsOf(record({ requests })), [
    'b: refused with crashes-endpoints, but crashed none',
  ]);
  const crashes = [{ path: '/once/b', atMs: 500 }];
  assert.deepEqual(violationsOf(record({ requests, crashes })), []);
});

test('the checker excuses an answer left unread by a suspended entry, and a slow caller that was cut off', () => {
  const cut = end({ body: '', isComplete: false });
  const id = `x${LARGE_SUFFIX}`;
  const violations = violationsOf(
    record({
      unreadAnswers: [{ endpoint: 'model-0', fromMs: 4000, atMs: 6000 }],
      requests: [request(id, { kind: 'stream', outcome: cut })],
      runs: [run(id)],
      disturbances: [
        { kind: 'pause', target: 'entry-0', fromMs: 3900, untilMs: 6100 },
        { kind: 'stop', target: 'entry-0', fromMs: 1050, untilMs: 3000 },
      ],
    }),
  );
  assert.deepEqual(violations, []);
});

test('the checker reports work on a once-only request that an entry ended, unless its deadline was near', () => {
  const requests = [request('b', { outcome: end({ status: 502, isSigned: false }) })];
  const runs = [run('b')];
  const endedAt = (atMs: number): string[] =>
    violationsOf(
      record({ requests, runs, abandoned: [{ endpoint: 'plain-0', requestId: 'b', atMs }] }),
    );
  assert.deepEqual(endedAt(1500), ['b: ended by entry-0 while plain-0 was at work']);
  assert.deepEqual(endedAt(3900), []);
});
