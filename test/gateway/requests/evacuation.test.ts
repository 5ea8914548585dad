/**
 * Requests while a data centre is evacuated. An endpoint there was still sent requests that had
 * been given to it before and waited for a connection or a token, retries, and resumed streams;
 * and callers of a service without endpoints elsewhere must be refused at once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  chunk,
  event,
  okResponse,
  responseHead,
  startRawEndpoint,
  type RawEndpoint,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import type { RateLimiter } from '../../../src/core/backpressure/index.js';
import { asId, type GroupId } from '../../../src/core/ids/index.js';
import type { DataCentreId, PublishedEndpoint, Route } from '../../../src/core/published/index.js';
import { ENGINE_INFO } from '../../fixtures/engine.js';
import { until } from '../../fixtures/until.js';
import {
  config,
  endpoint,
  route,
  SERVICE,
  startGateway,
  withRawEndpoints,
  type TestGateway,
  type TestGatewayOptions,
  type RawEndpointsSetup,
} from '../harness.js';

const EVACUATED = asId<DataCentreId>('a');
/** Maximum number of connections from one entry to an endpoint of the test service. */
const MAX_CONNECTIONS = 8;

interface Setup {
  readonly gateway: TestGateway;
  readonly raw: readonly RawEndpoint[];
  readonly listed: readonly PublishedEndpoint[];
  evacuate(): void;
}

/** Runs a gateway whose first endpoint is in the data centre to evacuate, and the others elsewhere. */
async function withEndpoints(
  answers: readonly RawResponder[],
  run: (setup: Setup) => Promise<void>,
  options: TestGatewayOptions & { readonly routes?: readonly Route[] } = {},
): Promise<void> {
  const recordOf = (address: string, i: number): PublishedEndpoint => ({
    ...endpoint(`e-${i}`, address),
    dataCentre: i === 0 ? EVACUATED : asId<DataCentreId>('b'),
  });
  const { routes = [route({ maxAttempts: 3, targetMs: 2000, timeoutMs: 2000 })], ...rest } =
    options;
  const runSetUp = ({ entry: gateway, raws: raw, listed }: RawEndpointsSetup): Promise<void> => {
    const evacuate = (): void => {
      gateway.state.offerEvacuations({ kind: 'whole', dataCentres: [EVACUATED] });
      gateway.ctx.endpoints.cancelUnavailable();
    };
    return run({ gateway, raw, listed, evacuate });
  };
  await withRawEndpoints(answers, config(routes), runSetUp, { ...rest, recordOf });
}

const ok: RawResponder = (req) => req.socket.write(okResponse(req, 'fine'));
const slow: RawResponder = (req) => void setTimeout(() => ok(req), 800);
const refuse: RawResponder = (req) =>
  req.socket.write(responseHead(req, '503 Full', ['X-Not-Executed: 1', 'Content-Length: 0']));

test('a service all of whose endpoints are evacuated refuses at once, as not run', () =>
  withEndpoints([ok], async ({ gateway, raw, evacuate }) => {
    evacuate();
    const response = await gateway.send('q-1');
    assert.equal(response.status, 503);
    assert.match(response.body, /"reason":"evacuated"/);
    assert.match(response.body, /evacuated data centres \(a\)/);
    assert.ok(Number(response.headers['retry-after']) > 1);
    assert.ok(response.tookMs < 300, `refused after ${response.tookMs} ms`);
    assert.equal(raw[0]?.requests.length, 0);
    assert.equal(
      gateway.metrics.value('refusals_total', { reason: 'evacuated', outcome: 'not-run' }),
      1,
    );
  }));

test('a group all of whose ranks are evacuated refuses at once', async () => {
  const rank = await startRawEndpoint(ok);
  const service = { id: asId(SERVICE), maxConnections: 100, engine: ENGINE_INFO } as const;
  const cfg = config([route()], { services: new Map([[service.id, service]]) } as never);
  const gateway = await startGateway(cfg, [endpoint('g0-0', rank.address)], {
    groupOf: () => asId<GroupId>('g0'),
  });
  try {
    gateway.state.offerEvacuations({ kind: 'whole', dataCentres: [EVACUATED] });
    const response = await gateway.send('q-1');
    assert.match(response.body, /"reason":"evacuated"/);
    assert.ok(response.tookMs < 300, `refused after ${response.tookMs} ms`);
  } finally {
    gateway.close();
    rank.close();
  }
});

test('requests in flight end where they run, and those waiting for a connection go elsewhere', () =>
  withEndpoints([slow, ok], async ({ gateway, raw, listed, evacuate }) => {
    gateway.state.offerList(listed.slice(0, 1), false);
    const pending = Array.from({ length: MAX_CONNECTIONS + 4 }, (_, i) => gateway.send(`q-${i}`));
    await until('all connections are used', () => raw[0]?.requests.length === MAX_CONNECTIONS);
    gateway.state.offerList(listed, false);
    evacuate();
    const responses = await Promise.all(pending);
    assert.deepEqual([...new Set(responses.map(({ status }) => status))], [200]);
    assert.deepEqual(
      raw.map(({ requests }) => requests.length),
      [MAX_CONNECTIONS, 4],
    );
    const ejected = gateway.logLines.some((line) => line.event === 'endpoint.ejected');
    assert.equal(ejected, false, 'the endpoint is not at fault');
  }));

test('a request that waits for a token of an evacuated endpoint goes elsewhere', () => {
  let waiting = 0;
  let release = (): void => undefined;
  const evacuated = new Promise<void>((resolve) => {
    release = resolve;
  });
  const limiterOf = ({ id }: PublishedEndpoint): RateLimiter => ({
    nextTokenAtMs: (nowMs) => nowMs,
    acquire: async () => {
      if (id === 'e-0') {
        waiting += 1;
        await evacuated;
      }
      return true;
    },
  });
  return withEndpoints(
    [ok, ok],
    async ({ gateway, raw, listed, evacuate }) => {
      gateway.state.offerList(listed.slice(0, 1), false);
      const pending = gateway.send('q-1');
      await until('the request waits for a token', () => waiting === 1);
      gateway.state.offerList(listed, false);
      evacuate();
      release();
      assert.equal((await pending).status, 200);
      assert.deepEqual(
        raw.map(({ requests }) => requests.length),
        [0, 1],
      );
    },
    { limiterOf },
  );
});

test('a retry does not go to an endpoint that was evacuated meanwhile', () =>
  withEndpoints([ok, refuse], async ({ gateway, raw, listed, evacuate }) => {
    const [first, second] = raw;
    assert.ok(first && second);
    second.respond = (req) => {
      gateway.state.offerList(listed, false);
      evacuate();
      refuse(req);
    };
    gateway.state.offerList(listed.slice(1), false);
    assert.equal((await gateway.send('q-1')).status, 503);
    assert.deepEqual([first.requests.length, second.requests.length], [0, 1]);
  }));

test('a broken stream is resumed outside the evacuated data centre', async () => {
  const head = (req: RawRequest): string =>
    responseHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);
  const rest: RawResponder = (req) =>
    void req.socket.write(head(req) + chunk(event(2)) + chunk(event(3)) + chunk(''));
  const routes = [
    route({ kind: 'stream', resumable: true, gapMs: 100, timeoutMs: 2000, maxAttempts: 2 }),
  ];
  await withEndpoints(
    [rest, rest, rest],
    async ({ gateway, raw, listed, evacuate }) => {
      const [evacuated, broken, other] = raw;
      assert.ok(evacuated && broken && other);
      broken.respond = (req) => {
        gateway.state.offerList(listed, false);
        evacuate();
        req.socket.write(head(req) + chunk(event(1)));
        setTimeout(() => req.socket.resetAndDestroy(), 30);
      };
      gateway.state.offerList(listed.slice(1, 2), false);
      const response = await gateway.send('q-1');
      assert.ok(response.complete);
      assert.deepEqual(
        raw.map(({ requests }) => requests.length),
        [0, 1, 1],
      );
    },
    { routes },
  );
});
