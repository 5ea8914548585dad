/**
 * Guards against responses with neither a length nor chunks, which end with their connection, being
 * taken for broken ones, and against those that break off being taken for whole.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connectEngine } from '../../../platform/engine-client.js';
import {
  event,
  okResponse,
  responseHead,
  startRawEndpoint,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import { silentLog } from '../../../src/core/logging/index.js';
import { Metrics } from '../../../src/core/metrics/index.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { config, endpoint, route, SERVICE, startGateway, type TestResponse } from '../harness.js';

/** Requests of a test; several, so that a wrong reuse of their connections shows. */
const REQUESTS = 6;

/** Sends a body without framing, and closes the connection behind it. */
const unframed =
  (body: string): RawResponder =>
  (req) =>
    req.socket.end(responseHead(req, '200 OK', ['Content-Type: text/event-stream']) + body);

interface Received {
  readonly responses: readonly TestResponse[];
  readonly connections: number;
}

/** Requests at one endpoint, which is a rank of a group or belongs to a plain service. */
async function receive(
  respond: RawResponder,
  kind: 'stream' | 'repeatable',
  isRank: boolean,
): Promise<Received> {
  const raw = await startRawEndpoint(respond);
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO } as const;
  const services = { services: new Map([[service.id, service]]) };
  const entry = await startGateway(
    config([route({ kind, gapMs: 300, maxAttempts: 1 })], (isRank ? services : {}) as never),
    [endpoint('e-1', raw.address)],
    { groupOf: () => (isRank ? asId<GroupId>('g') : undefined) },
  );
  const responses: TestResponse[] = [];
  for (let i = 0; i < REQUESTS; i += 1) responses.push(await entry.send(`q-${i}`));
  entry.close();
  raw.close();
  return { responses, connections: raw.connections };
}

const EVENTS = event(1) + event(2);

for (const isRank of [false, true]) {
  const where = isRank ? 'a rank of a group' : 'a plain endpoint';

  test(`a stream of ${where} that ends with its connection is complete`, async () => {
    const { responses, connections } = await receive(unframed(EVENTS), 'stream', isRank);
    for (const { status, body, complete } of responses)
      assert.deepEqual([status, body, complete], [200, EVENTS, true]);
    assert.equal(connections, REQUESTS);
  });

  test(`a stream of ${where} that ends inside an event never looks complete`, async () => {
    const { responses } = await receive(unframed(EVENTS.slice(0, -3)), 'stream', isRank);
    for (const { body, complete } of responses)
      assert.deepEqual([body, complete], [event(1), false]);
  });

  test(`a whole answer of ${where} that ends with its connection is complete`, async () => {
    const { responses, connections } = await receive(unframed('all of it'), 'repeatable', isRank);
    for (const { status, body, complete } of responses)
      assert.deepEqual([status, body, complete], [200, 'all of it', true]);
    assert.equal(connections, REQUESTS);
  });
}

/** Late bytes on the connection of an unframed response would be taken for the next response. */
test('a connection whose response had no length is not reused for the next request', async () => {
  let sent = 0;
  const mixed: RawResponder = (req) => {
    sent += 1;
    if (sent % 2 === 0) return void req.socket.write(okResponse(req, 'framed'));
    req.socket.write(responseHead(req, '200 OK', []) + 'unframed');
    setTimeout(() => req.socket.end(), 20);
  };
  const { responses } = await receive(mixed, 'repeatable', false);
  assert.deepEqual(
    responses.map(({ status, body }) => [status, body]),
    Array.from({ length: REQUESTS }, (_, i) => [200, i % 2 === 0 ? 'unframed' : 'framed']),
  );
});

const REPORT = JSON.stringify({
  group: { name: 'g', epoch: 3, rank: 1, state: 'open', size: 2 },
  pace: 1,
  step: 7,
  map: 0,
});

test('an agent reads a report of its engine that ends with its connection, and no part of one', async () => {
  let body = REPORT;
  const raw = await startRawEndpoint((req) =>
    req.socket.end(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${body}`),
  );
  try {
    const engine = connectEngine(`http://${raw.address}`, silentLog, new Metrics());
    assert.equal((await engine.report()).groupEpoch, 3);
    body = REPORT.slice(0, -5);
    await assert.rejects(engine.report());
  } finally {
    raw.close();
  }
});
