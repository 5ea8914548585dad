/** Requests before several groups of engines behind one service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { asId, type GroupId } from '../../src/core/ids/index.js';
import {
  answerHead,
  okAnswer,
  startRawEndpoint,
  type RawAnswer,
  type RawEndpoint,
} from '../../fakes/raw-endpoint/index.js';
import { ENGINE } from '../fixtures/engine.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  startGateway,
  type GatewayUnderTest,
  type Got,
} from './harness.js';

const RANKS = 3;
const ok: RawAnswer = (req) => req.socket.write(okAnswer(req, 'fine'));
/** What engines of a group say that has lost a rank. */
const broken: RawAnswer = (req) =>
  req.socket.write(answerHead(req, '503 Group Broken', ['X-Not-Executed: 1', 'Content-Length: 0']));

interface Bench {
  readonly under: GatewayUnderTest;
  /** Requests that reached each group. */
  reached(): number[];
}

/** A gateway before groups of three ranks; all ranks of one answer alike. */
async function withGroups(
  answers: readonly RawAnswer[],
  run: (bench: Bench) => Promise<void>,
): Promise<void> {
  const raw: RawEndpoint[][] = [];
  for (const answer of answers)
    raw.push(await Promise.all(Array.from({ length: RANKS }, () => startRawEndpoint(answer))));
  const listed = raw.flatMap((ranks, g) => ranks.map((r, i) => endpoint(`g${g}-${i}`, r.address)));
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE } as const;
  const services = new Map([[service.id, service]]);
  const under = await startGateway(
    config([route({ maxAttempts: 2 })], { services } as never),
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

test('a request that its group cannot serve goes on in another one, not at the next rank', async () => {
  await withGroups([broken, ok], async ({ under, reached }) => {
    for (let i = 0; i < 8; i += 1) assert.equal((await under.ask(`q-${i}`)).status, 200);
    const [first = 0, second = 0] = reached();
    assert.equal(second, 8);
    assert.ok(first <= 8, `${first}`);
    assert.ok(under.lines.every((line) => line.fields['outcome'] !== 'not-run'));
  });
});

test('where all groups are broken a request is refused truly, with a time to come back', async () => {
  await withGroups([broken, broken], async ({ under, reached }) => {
    const got = await under.ask('q-1');
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers['retry-after']) >= 2);
    assert.deepEqual(reached(), [1, 1]);
  });
});

/** Asks for 2 s of rest, in the name of each rank. */
const resting: RawAnswer = (req) =>
  req.socket.write(
    answerHead(req, '503 Full', ['X-Not-Executed: 1', 'Retry-After: 2', 'Content-Length: 0']),
  );

test('while all ranks of a group rest nothing waits for a place there, and another group serves', async () => {
  await withGroups([resting, ok], async ({ under, reached }) => {
    for (let i = 0; i < 20; i += 1) assert.equal((await under.ask(`q-${i}`)).status, 200);
    assert.ok((reached()[0] ?? 0) <= RANKS);
  });
});

test('callers who come back after a refusal for rest are not taken for fresh ones that wait less', async () => {
  let isResting = false;
  const answer: RawAnswer = (req) => (isResting ? resting : ok)(req);
  await withGroups([answer], async ({ under }) => {
    const asks = (id: string, waitsMs: number): Promise<Got> =>
      under.ask(id, { headers: { 'x-deadline-ms': String(waitsMs) } });
    assert.equal((await asks('q-first', 8000)).status, 200);
    isResting = true;
    while (!(await asks('q-fresh', 8000)).body.includes('"reason":"resting"'));
    isResting = false;
    await wait(2500);
    for (let i = 0; i < 30; i += 1) assert.equal((await asks(`q-${i}`, 5600)).status, 200);
    const callers = under.ctx.serviceOf(asId(SERVICE)).groups?.callers;
    assert.equal(callers?.isReturning(asId('r-1'), 5600, performance.now()), true);
  });
});
