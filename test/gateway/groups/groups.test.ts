/** Requests to a service with several engine groups. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import type { Route } from '../../../src/core/published/index.js';
import {
  responseHead,
  okResponse,
  startRawEndpoint,
  type RawResponder,
  type RawEndpoint,
} from '../../../fakes/raw-endpoint/index.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  startGateway,
  type TestGateway,
  type TestResponse,
} from '../harness.js';

const RANKS = 3;
const ok: RawResponder = (req) => req.socket.write(okResponse(req, 'fine'));
/** Answer of the engines of a group that has lost a rank. */
const broken: RawResponder = (req) =>
  req.socket.write(
    responseHead(req, '503 Group Broken', ['X-Not-Executed: 1', 'Content-Length: 0']),
  );

interface Harness {
  readonly under: TestGateway;
  /** Returns the number of requests received by each group. */
  reached(): number[];
}

/** Runs a gateway with groups of three ranks; all ranks of a group give the same answer. */
async function withGroups(
  answers: readonly RawResponder[],
  run: (harness: Harness) => Promise<void>,
  change: Partial<Route> = {},
): Promise<void> {
  const raw: RawEndpoint[][] = [];
  for (const answer of answers)
    raw.push(await Promise.all(Array.from({ length: RANKS }, () => startRawEndpoint(answer))));
  const listed = raw.flatMap((ranks, g) => ranks.map((r, i) => endpoint(`g${g}-${i}`, r.address)));
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO } as const;
  const services = new Map([[service.id, service]]);
  const under = await startGateway(
    config([route({ maxAttempts: 2, ...change })], { services } as never),
    listed,
    { groupOf: (e) => asId<GroupId>(e.id.slice(0, 2)) },
  );
  try {
    await run({
      under,
      reached: () => raw.map((ranks) => ranks.reduce((n, r) => n + r.requests.length, 0)),
    });
  } finally {
    under.close();
    for (const each of raw.flat()) each.close();
  }
}

test('a request that its group cannot serve is retried in another group, not at another rank', async () => {
  await withGroups([broken, ok], async ({ under, reached }) => {
    for (let i = 0; i < 8; i += 1) assert.equal((await under.send(`q-${i}`)).status, 200);
    const [first = 0, second = 0] = reached();
    assert.equal(second, 8);
    assert.ok(first <= 8, `${first}`);
    assert.ok(under.logLines.every((line) => line.fields['outcome'] !== 'not-run'));
  });
});

test('if all groups are broken, the request is refused with Retry-After', async () => {
  await withGroups([broken, broken], async ({ under, reached }) => {
    const got = await under.send('q-1');
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers['retry-after']) >= 2);
    assert.deepEqual(reached(), [1, 1]);
  });
});

/** Answer of a rank that requests a backoff of 2 s. */
const backingOff: RawResponder = (req) =>
  req.socket.write(
    responseHead(req, '503 Full', ['X-Not-Executed: 1', 'Retry-After: 2', 'Content-Length: 0']),
  );

test('while all ranks of a group back off, no request queues for it and another group serves', async () => {
  await withGroups([backingOff, ok], async ({ under, reached }) => {
    for (let i = 0; i < 20; i += 1) assert.equal((await under.send(`q-${i}`)).status, 200);
    assert.ok((reached()[0] ?? 0) <= RANKS);
  });
});

test('callers that retry after a refusal for backoff are not mistaken for new callers with a shorter deadline', async () => {
  let isBackingOff = false;
  const answer: RawResponder = (req) => (isBackingOff ? backingOff : ok)(req);
  await withGroups([answer], async ({ under }) => {
    const request = (id: string, waitsMs: number): Promise<TestResponse> =>
      under.send(id, { headers: { 'x-deadline-ms': String(waitsMs) } });
    assert.equal((await request('q-first', 8000)).status, 200);
    isBackingOff = true;
    while (!(await request('q-fresh', 8000)).body.includes('"reason":"resting"'));
    isBackingOff = false;
    await wait(2500);
    for (let i = 0; i < 30; i += 1) assert.equal((await request(`q-${i}`, 5600)).status, 200);
    const callers = under.ctx.serviceOf(asId(SERVICE)).groups?.returningCallers;
    assert.equal(callers?.isReturning(asId('r-1'), 5600, performance.now()), true);
  });
});

/**
 * A returning caller was refused for good after 0.6 of its target, 120 ms here, although it had five seconds left and
 * slots are held for half a second.
 */
test('a returning caller with seconds left is not refused for good while slots come free soon', async () => {
  const answer: RawResponder = (req) =>
    void setTimeout(() => req.socket.write(okResponse(req, 'fine')), 500);
  const run = async ({ under }: Harness): Promise<void> => {
    const request = (id: string, waitsMs: number): Promise<TestResponse> =>
      under.send(id, { headers: { 'x-deadline-ms': String(waitsMs) } });
    const first = await Promise.all(
      Array.from({ length: 12 }, (_, i) => request(`q-first-${i}`, 8000)),
    );
    assert.ok(first.some(({ status }) => status === 503));
    const planned = under.logLines.find(({ event }) => event === 'return.planned');
    assert.equal(planned?.fields['why'], 'usual', 'nothing is known yet');
    const running = Promise.all(Array.from({ length: 6 }, (_, i) => request(`q-${i}`, 8000)));
    await wait(50);
    const returning = await request('q-returning', 5500);
    assert.equal(returning.status, 200, returning.body);
    assert.ok(returning.tookMs > 700, `${returning.tookMs}`);
    await running;
    const outcome = { service: SERVICE, outcome: 'granted' };
    assert.equal(under.metrics.value('returning_callers_total', outcome), 1);
  };
  await withGroups([answer], run, { kind: 'once', timeoutMs: 8000 });
});
