/**
 * Every organisation of a deployment had a priority, and the organisation's priority replaced the route's. All requests
 * then waited for slots with the same priority, and a burst on the least urgent route went before the most urgent one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { okResponse, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import { asId } from '../../../src/core/ids/index.js';
import type { Organisation, RouteId, ServiceId } from '../../../src/core/published/index.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { until } from '../../fixtures/until.js';
import { config, endpoint, route, SERVICE, startGateway } from '../harness.js';

/** Slots of an entry that does not know its group's load. */
const SLOTS = 6;

interface Caller {
  readonly path: string;
  readonly key: string;
}

/** Sends two callers while all slots are taken, the second one later; returns the paths in the order served. */
async function orderServed(
  organisations: Readonly<Record<string, Organisation['priority']>>,
  first: Caller,
  second: Caller,
): Promise<string[]> {
  const held: (() => void)[] = [];
  const raw = await startRawEndpoint((req) => {
    held.push(() => req.socket.write(okResponse(req, 'fine')));
  });
  const service = { id: asId<ServiceId>(SERVICE), maxConnections: 100, engine: ENGINE_INFO };
  const waiting = { targetMs: 16_000, timeoutMs: 9000, maxAttempts: 1 };
  const routes = [
    route({ ...waiting, id: asId<RouteId>('r-urgent'), pathPrefix: '/urgent/', priority: 0 }),
    route({ ...waiting, id: asId<RouteId>('r-later'), pathPrefix: '/later/', priority: 2 }),
  ];
  const byKey = Object.entries(organisations).map(([key, priority]): [string, Organisation] => [
    key,
    { id: asId(`org-${key}`), priority },
  ]);
  const under = await startGateway(
    config(routes, {
      services: new Map([[service.id, service]]),
      organisationsByKey: new Map(byKey),
    }),
    [endpoint('e-1', raw.address)],
  );
  const send = ({ path, key }: Caller, id: string): Promise<unknown> =>
    under.send(id, { path, headers: { authorization: `Bearer ${key}`, 'x-deadline-ms': '8000' } });
  try {
    const sent = Array.from({ length: SLOTS }, (_, i) => send(first, `q-full-${i}`));
    await until('all slots are taken', () => held.length === SLOTS);
    const queued = (): number =>
      under.ctx.serviceOf(service.id).groups?.all()[0]?.slotQueue.queue.queued ?? 0;
    sent.push(send(first, 'q-first'));
    await until('the first caller waits', () => queued() === 1);
    sent.push(send(second, 'q-second'));
    await until('the second caller waits', () => queued() === 2);
    for (let served = 1; served <= 2; served += 1) {
      held[served - 1]?.();
      await until('a waiting caller is served', () => held.length === SLOTS + served);
    }
    for (const release of held.slice(2)) release();
    await Promise.all(sent);
    return raw.requests.slice(SLOTS).map((req) => req.line.split(' ')[1] ?? '');
  } finally {
    under.close();
    raw.close();
  }
}

test('a route is not served by urgency because its callers belong to an organisation with a priority', async () => {
  const served = await orderServed(
    { k: 1 },
    { path: '/later/1', key: 'k' },
    { path: '/urgent/1', key: 'k' },
  );
  assert.deepEqual(served, ['/urgent/1', '/later/1']);
});

test("an organisation's priority goes before the route's, whatever the route", async () => {
  const served = await orderServed(
    { low: 1, high: 0 },
    { path: '/urgent/1', key: 'low' },
    { path: '/later/1', key: 'high' },
  );
  assert.deepEqual(served, ['/later/1', '/urgent/1']);
});

test("an organisation without a priority does not override the route's", async () => {
  const served = await orderServed(
    { k: undefined, other: 1 },
    { path: '/later/1', key: 'other' },
    { path: '/urgent/1', key: 'k' },
  );
  assert.deepEqual(served, ['/urgent/1', '/later/1']);
});
