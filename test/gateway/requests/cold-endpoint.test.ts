/** Requests to endpoints that are cold: those that wait for a connection, and those above the rate. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  okResponse,
  startRawEndpoint,
  type RawEndpoint,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { asId } from '../../../src/core/ids/index.js';
import type { PublishedEndpoint } from '../../../src/core/published/index.js';
import { until } from '../../fixtures/until.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  withRawEndpoints,
  type TestGateway,
  type RawEndpointsSetup,
} from '../harness.js';

const MAX_CONNECTIONS = 8;

const ok: RawResponder = (req) => req.socket.write(okResponse(req, 'fine'));
const slow: RawResponder = (req) => void setTimeout(() => ok(req), 800);

async function withColdStart(
  perS: number,
  answers: readonly RawResponder[],
  run: (
    gateway: TestGateway,
    raw: readonly RawEndpoint[],
    listed: readonly PublishedEndpoint[],
  ) => Promise<void>,
): Promise<void> {
  const coldStart = { durationMs: 3000, perS };
  const service = { id: asId(SERVICE), maxConnections: 100, engine: undefined, coldStart } as const;
  const services = new Map([[service.id, service]]);
  const cfg = config([route({ targetMs: 2000, timeoutMs: 2000 })], { services } as never);
  const runListed = ({ entry, raws, listed }: RawEndpointsSetup): Promise<void> => {
    entry.ctx.endpoints.noteListed();
    return run(entry, raws, listed);
  };
  await withRawEndpoints(answers, cfg, runListed, { knownEntries: () => 1 });
}

/** Publishes that the first endpoint is cold. */
function turnCold(gateway: TestGateway, listed: readonly PublishedEndpoint[]): void {
  const [first, ...others] = listed;
  assert.ok(first);
  gateway.state.offerList([{ ...first, coldRemainingMs: 3000 }, ...others], false);
  gateway.ctx.endpoints.noteListed();
}

test('requests that wait for a connection to an endpoint that turns cold go elsewhere', () =>
  withColdStart(1, [slow, ok], async (gateway, raw, listed) => {
    gateway.state.offerList(listed.slice(0, 1), false);
    const pending = Array.from({ length: MAX_CONNECTIONS + 4 }, (_, i) => gateway.send(`q-${i}`));
    await until('all connections are used', () => raw[0]?.requests.length === MAX_CONNECTIONS);
    turnCold(gateway, listed);
    const responses = await Promise.all(pending);
    assert.deepEqual([...new Set(responses.map(({ status }) => status))], [200]);
    assert.deepEqual(
      raw.map(({ requests }) => requests.length),
      [MAX_CONNECTIONS, 4],
    );
    const line = gateway.logLines.find(({ event }) => event === 'endpoint.cold');
    assert.deepEqual([line?.fields['endpoint'], line?.fields['why']], ['e-0', 'record']);
  }));

test('requests above the rate of a cold endpoint are refused at once if there is no other', () =>
  withColdStart(2, [ok], async (gateway, raw, listed) => {
    turnCold(gateway, listed);
    const responses = await Promise.all(
      Array.from({ length: 12 }, (_, i) => gateway.send(`q-${i}`)),
    );
    const refused = responses.filter(({ status }) => status === 503);
    assert.ok(raw[0] && raw[0].requests.length <= 2, `${raw[0]?.requests.length} sent`);
    assert.equal(refused.length, 12 - raw[0].requests.length);
    for (const { body, tookMs } of refused) {
      assert.match(body, /"reason":"limited"/);
      assert.ok(tookMs < 300, `refused after ${tookMs} ms`);
    }
  }));

test('an endpoint that refused connections is limited until its record or its responses say more', async () => {
  const closed = await startRawEndpoint(ok);
  closed.close();
  await withColdStart(1, [ok], async (gateway, raw, listed) => {
    const gone = endpoint('e-gone', closed.address);
    assert.equal(gateway.ctx.cold.isCold(gone), false);
    gateway.ctx.cold.update([...listed, gone]);
    await wait(3400);
    gateway.state.offerList([gone], false);
    assert.equal(gateway.ctx.cold.isCold(gone), false, 'its start is over');
    assert.equal((await gateway.send('q-1')).status, 503);
    assert.equal(gateway.ctx.cold.isCold(gone), true);
    assert.equal(raw[0]?.requests.length, 0);
  });
});
