/**
 * Guards against one unusable record in the list of endpoints failing every request to its service: the
 * connection pool of an impossible address threw inside the choice among all endpoints.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { okResponse, startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import type { PublishedEndpoint } from '../../../src/core/published/index.js';
import { config, endpoint, route, startGateway, type TestGatewayOptions } from '../harness.js';

const REQUESTS = 5;

async function statusesOf(
  unusable: readonly PublishedEndpoint[],
  options: TestGatewayOptions = {},
): Promise<{ statuses: number[]; logged: number; counted: number }> {
  const raw = await startRawEndpoint((req) => void req.socket.write(okResponse(req, 'own')));
  const listed = [...unusable, endpoint('e-sound', raw.address)];
  const entry = await startGateway(config([route()]), listed, options);
  const statuses: number[] = [];
  for (let i = 0; i < REQUESTS; i += 1) statuses.push((await entry.send(`q-${i}`)).status);
  entry.close();
  raw.close();
  return {
    statuses,
    logged: entry.logLines.filter(({ event }) => event === 'endpoint.unusable').length,
    counted: entry.metrics.value('endpoints_unusable_total', { service: 'lookup' }),
  };
}

const served = Array.from({ length: REQUESTS }, () => 200);

for (const address of ['127.0.0.9:87280', '999.0.0.1:80', ''])
  test(`an endpoint with the address "${address}" does not fail requests to the others`, async () => {
    const { statuses, logged, counted } = await statusesOf([endpoint('e-bad', address)]);
    assert.deepEqual(statuses, served);
    assert.deepEqual([logged, counted], [1, 1]);
  });

test('an unexpected failure inside a request is answered with 502', async () => {
  const failing = (): never => {
    throw new Error('unexpected');
  };
  const raw = await startRawEndpoint((req) => void req.socket.resetAndDestroy());
  const entry = await startGateway(config([route()]), [endpoint('e-1', raw.address)], {
    knownEntries: failing,
  });
  const { status, complete } = await entry.send('q-1');
  assert.deepEqual([status, complete], [502, true]);
  entry.close();
  raw.close();
});
