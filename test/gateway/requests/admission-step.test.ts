/** Admission by urgency at a gateway, with a group whose demand exceeds its limit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { okResponse, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import type { Organisation, RouteId, ServiceId } from '../../../src/core/published/index.js';
import type { Demand } from '../../../src/generated/messages.types.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { until } from '../../fixtures/until.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  startGateway,
  TEST_SETTINGS,
  type TestGateway,
} from '../harness.js';

/** A limit of 36 streams, three times as many callers of class 11, and two of class 10. */
const OVERLOAD: Demand = {
  byUrgency: { 10: 2, 11: 100 },
  byOrganisation: { 'org-large': 100, 'org-small': 2 },
  othersPerS: 0,
  holdMs: 1000,
  limit: 36,
};

const ORGANISATIONS: [string, Organisation][] = [
  ['key-large', { id: asId('org-large'), priority: 1 }],
  ['key-small', { id: asId('org-small'), priority: 1 }],
];

const HELD = 6;
/** Simulated time between two requests, ms: a fraction of the group's demand arrives at this entry. */
const ARRIVAL_MS = 50;

let nowMs = 0;
const clock = { nowMs: () => nowMs, wallMs: () => nowMs };

const LARGE = { authorization: 'Bearer key-large', 'x-deadline-ms': '30000' };

async function withGateway(
  priorities: readonly [number, number],
  run: (gateway: TestGateway) => Promise<void>,
): Promise<void> {
  const held: (() => void)[] = [];
  const raw = await startRawEndpoint((req) => {
    const respond = (): unknown => req.socket.write(okResponse(req, 'fine'));
    if (req.line.includes('held')) held.push(() => void respond());
    else respond();
  });
  const service = { id: asId<ServiceId>(SERVICE), maxConnections: 100, engine: ENGINE_INFO };
  const routes = [
    route({
      id: asId<RouteId>('r-0'),
      pathPrefix: '/first/',
      timeoutMs: 30_000,
      maxAttempts: 1,
      priority: priorities[0],
    }),
    route({
      id: asId<RouteId>('r-1'),
      pathPrefix: '/second/',
      timeoutMs: 30_000,
      priority: priorities[1],
    }),
  ];
  const gateway = await startGateway(
    config(routes, {
      services: new Map([[service.id, service]]),
      organisationsByKey: new Map(ORGANISATIONS),
    }),
    [endpoint('e-1', raw.address)],
    {
      clock,
      settings: { ...TEST_SETTINGS, keyFreshnessMs: 600_000 },
      groupOf: () => asId<GroupId>('g'),
      groupLoad: () => ({
        ranks: 12,
        running: 36,
        entries: 4,
        countedAtMs: clock.nowMs() - 200,
        demand: OVERLOAD,
      }),
    },
  );
  try {
    // Streams that this entry runs meanwhile: an idle one refuses no one.
    const path = '/first/held';
    const running = Array.from({ length: HELD }, (_, i) =>
      gateway.send(`q-held-${i}`, { path, headers: LARGE }),
    );
    await until('the streams have started', () => held.length === HELD);
    await run(gateway);
    for (const release of held) release();
    await Promise.all(running);
  } finally {
    gateway.close();
    raw.close();
  }
}

/** Sends requests one after the other, and returns how many were served. */
async function countServed(under: TestGateway, path: string, key: string): Promise<number> {
  let served = 0;
  for (let i = 0; i < 40; i += 1) {
    const headers = { ...LARGE, authorization: `Bearer ${key}` };
    nowMs += ARRIVAL_MS;
    const { status } = await under.send(`q-${path}-${key}-${i}`, { path, headers });
    if (status === 200) served += 1;
  }
  return served;
}

test('while a group is overloaded, urgent callers are served and less urgent ones by a fraction', async () => {
  await withGateway([0, 1], async (under) => {
    assert.equal(await countServed(under, '/first/1', 'key-large'), 40, 'urgent');
    const large = await countServed(under, '/second/1', 'key-large');
    const small = await countServed(under, '/second/1', 'key-small');
    assert.ok(large < 20, `${large}`);
    assert.equal(small, 40, 'the small organisation is within its fair share');
    const refused = under.logLines.find((line) => line.fields['outcome'] === 'busy');
    assert.match(
      String(refused?.fields['detail']),
      /urgency 11 of this organisation is admitted by 0\.\d+; admission level: urgency 11 by 0\.\d+, group demand \d+ ms old/,
    );
    const labels = { service: SERVICE, urgency: '11' };
    assert.equal(under.metrics.value('urgency_refused_total', labels), 40 - large);
    assert.equal(
      under.metrics.value('urgency_admitted_total', { ...labels, urgency: '10' }),
      40 + HELD,
    );
  });
});

test('where all routes and organisations are equally urgent, no level applies', async () => {
  await withGateway([1, 1], async (under) => {
    assert.equal(await countServed(under, '/second/1', 'key-large'), 40);
    assert.equal(under.ctx.serviceOf(asId(SERVICE)).groups?.all()[0]?.slotQueue.level(), undefined);
  });
});
