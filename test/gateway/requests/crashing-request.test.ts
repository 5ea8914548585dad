/**
 * Guards against a request that crashes every endpoint that begins to run it, and that the same
 * caller retries with the same path and body. Undetected, each retry crashes as many endpoints as
 * it has attempts (8 retries caused 16 crashes), and in a lock-step group each crash takes the
 * whole group out of service.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { CrashUpdate } from '../../../src/generated/messages.types.js';
import { startRawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import {
  config,
  endpoint,
  route,
  startGateway,
  type TestGateway,
  type TestResponse,
} from '../harness.js';
import { CrashingEndpoint } from '../crashing-endpoint.js';

/** Number of endpoints of a test, and how often the crashing request is sent. */
const ENDPOINTS = 6;
const ATTEMPTS = 8;
const CRASHING_PATH = '/x/poison';
/** Interval at which the configuration is confirmed as current, ms. */
const CONFIRM_INTERVAL_MS = 500;
/** Number of other requests that each entry gets meanwhile. */
const OTHER_REQUESTS = 60;
/** Pause between two retries, ms; longer than the restart of an endpoint. */
const RETRY_PAUSE_MS = 400;

interface TestSetup {
  readonly endpoints: readonly CrashingEndpoint[];
  readonly gateways: readonly TestGateway[];
}

async function withEntries(
  entries: number,
  run: (setup: TestSetup) => Promise<void>,
): Promise<void> {
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, () =>
      CrashingEndpoint.start((path) => path === CRASHING_PATH),
    ),
  );
  const listed = endpoints.map(({ address }, i) => endpoint(`e-${i}`, address));
  const gateways: TestGateway[] = [];
  const sendToAll = (news: CrashUpdate): void => {
    for (const { ctx } of gateways) ctx.crashes.evidence.merge(news);
  };
  for (let i = 0; i < entries; i += 1)
    gateways.push(await startGateway(config([route()]), listed, { broadcastCrashes: sendToAll }));
  const confirmTimer = setInterval(() => {
    for (const { state, ctx } of gateways) state.confirmConfig(ctx.ageClock.nowMs());
  }, CONFIRM_INTERVAL_MS);
  try {
    await run({ endpoints, gateways });
  } finally {
    clearInterval(confirmTimer);
    for (const testGateway of gateways) testGateway.close();
    for (const each of endpoints) each.close();
  }
}

const crashCount = ({ endpoints }: TestSetup): number =>
  endpoints.reduce((sum, { crashedAtMs }) => sum + crashedAtMs.length, 0);

test('a crashing request crashes only two endpoints, however often it is retried', async () => {
  await withEntries(1, async (all) => {
    const [testGateway] = all.gateways;
    const statuses: (number | undefined)[] = [];
    for (let i = 0; i < ATTEMPTS; i += 1) {
      statuses.push((await testGateway?.send(`p-${i}`, { path: CRASHING_PATH }))?.status);
      await wait(RETRY_PAUSE_MS);
    }
    assert.equal(crashCount(all), 2, statuses.join());
  });
});

test('a crashing request retried at other entries is refused, while other requests are served', async () => {
  await withEntries(4, async (all) => {
    const others = all.gateways.map(async (testGateway, i) => {
      const responses: TestResponse[] = [];
      for (let n = 0; n < OTHER_REQUESTS; n += 1) {
        responses.push(await testGateway.send(`o-${i}-${n}`, { path: `/x/${n % 3}` }));
        await wait(20);
      }
      return responses;
    });
    for (let i = 0; i < ATTEMPTS; i += 1) {
      await all.gateways[i % 4]?.send(`p-${i}`, { path: CRASHING_PATH });
      await wait(RETRY_PAUSE_MS);
    }
    assert.equal(crashCount(all), 2);
    const failed = (await Promise.all(others)).flat().filter(({ status }) => status !== 200);
    assert.deepEqual(
      failed.filter(({ body }) => body.includes('crashes-endpoints')),
      [],
    );
    // Two endpoints may be down at once; a request that hits both has no third attempt.
    assert.ok(failed.length <= 0.05 * 4 * OTHER_REQUESTS, failed.map(({ body }) => body).join());
  });
});

test('the refusal of a crashing request is correct, and its Retry-After discourages retries', async () => {
  await withEntries(1, async ({ gateways: [testGateway], endpoints }) => {
    await testGateway?.send('p-1', { path: CRASHING_PATH });
    await wait(RETRY_PAUSE_MS);
    const response = await testGateway?.send('p-2', { path: CRASHING_PATH });
    assert.equal(response?.status, 503);
    assert.equal(response?.headers['retry-after'], '300.00');
    const runs = endpoints.flatMap((each) => each.runs).filter((path) => path === CRASHING_PATH);
    assert.equal(runs.length, 2);
  });
});

test('a frequent request is not suspected when endpoints crash for other reasons', async () => {
  await withEntries(2, async ({ gateways, endpoints }) => {
    let requestCount = 0;
    const refused: string[] = [];
    const untilMs = performance.now() + 4000;
    const sendRepeatedly = async (testGateway: TestGateway): Promise<void> => {
      while (performance.now() < untilMs) {
        requestCount += 1;
        const { status, body } = await testGateway.send(`h-${requestCount}`, {
          path: '/x/popular',
        });
        if (status === 503) refused.push(body);
      }
    };
    const callers = gateways.flatMap((testGateway) => [
      sendRepeatedly(testGateway),
      sendRepeatedly(testGateway),
      sendRepeatedly(testGateway),
    ]);
    for (let i = 0; performance.now() < untilMs; i += 1) {
      await endpoints[i % ENDPOINTS]?.crash();
      await wait(50);
    }
    await Promise.all(callers);
    assert.ok(requestCount > 200, `${requestCount} requests`);
    assert.deepEqual(
      refused.filter((body) => body.includes('crashed')),
      [],
    );
  });
});

test('connection resets by a running endpoint do not make a request suspect', async () => {
  await withEntries(1, async ({ gateways: [testGateway] }) => {
    const raw = await startRawEndpoint((req) => req.socket.resetAndDestroy());
    try {
      testGateway?.state.offerList([endpoint('e-raw', raw.address)], false);
      for (let i = 0; i < 4; i += 1) await testGateway?.send(`r-${i}`, { path: '/x/reset' });
      assert.equal(raw.requests.length, 4);
      assert.equal(testGateway?.ctx.crashes.evidence.isEmpty, true);
    } finally {
      raw.close();
    }
  });
});
