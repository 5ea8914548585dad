/**
 * Story: a request crashes each endpoint that begins to run it, and comes again, with the same path, caller and body. Each of its
 * tries crashed as many endpoints as it may be sent to; with the others of a group in lock-step, one such request takes a whole
 * group out of service again and again.
 * Evidence: the first test failed on the code before: eight tries crashed endpoints 16 times.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { CrashNews } from '../../src/generated/messages.types.js';
import { startRawEndpoint } from '../../fakes/raw-endpoint/index.js';
import {
  config,
  endpoint,
  route,
  startGateway,
  type GatewayUnderTest,
  type Got,
} from './harness.js';
import { CrashingEndpoint } from './crashing-endpoint.js';

/** Endpoints of a test, and how often the request comes. */
const ENDPOINTS = 6;
const TRIES = 8;
const POISON = '/x/poison';
/** How often the configuration is proved to be the newest, ms. */
const PROOF_MS = 500;
/** Other requests that each entry gets meanwhile. */
const OTHERS = 60;
/** Pause between two tries, ms: longer than an endpoint is away. */
const PAUSE_MS = 400;

interface Played {
  readonly endpoints: readonly CrashingEndpoint[];
  readonly gateways: readonly GatewayUnderTest[];
}

async function played(entries: number, run: (played: Played) => Promise<void>): Promise<void> {
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, () => CrashingEndpoint.start((path) => path === POISON)),
  );
  const listed = endpoints.map(({ address }, i) => endpoint(`e-${i}`, address));
  const gateways: GatewayUnderTest[] = [];
  const tellOthers = (news: CrashNews): void => {
    for (const { ctx } of gateways) ctx.crashes.evidence.take(news);
  };
  for (let i = 0; i < entries; i += 1)
    gateways.push(await startGateway(config([route()]), listed, { tellCrashes: tellOthers }));
  const proving = setInterval(() => {
    for (const { state, ctx } of gateways) state.proveConfig(ctx.ageClock.nowMs());
  }, PROOF_MS);
  try {
    await run({ endpoints, gateways });
  } finally {
    clearInterval(proving);
    for (const under of gateways) under.close();
    for (const each of endpoints) each.close();
  }
}

const falls = ({ endpoints }: Played): number =>
  endpoints.reduce((sum, { fellAtMs }) => sum + fellAtMs.length, 0);

test('a request that crashes what runs it crashes two endpoints, however often it comes', async () => {
  await played(1, async (all) => {
    const [under] = all.gateways;
    const statuses: (number | undefined)[] = [];
    for (let i = 0; i < TRIES; i += 1) {
      statuses.push((await under?.ask(`p-${i}`, { path: POISON }))?.status);
      await wait(PAUSE_MS);
    }
    assert.equal(falls(all), 2, statuses.join());
  });
});

test('also where each of its tries comes to another entry; other requests are served, and none of them is refused', async () => {
  await played(4, async (all) => {
    const others = all.gateways.map(async (under, i) => {
      const got: Got[] = [];
      for (let n = 0; n < OTHERS; n += 1) {
        got.push(await under.ask(`o-${i}-${n}`, { path: `/x/${n % 3}` }));
        await wait(20);
      }
      return got;
    });
    for (let i = 0; i < TRIES; i += 1) {
      await all.gateways[i % 4]?.ask(`p-${i}`, { path: POISON });
      await wait(PAUSE_MS);
    }
    assert.equal(falls(all), 2);
    const bad = (await Promise.all(others)).flat().filter(({ status }) => status !== 200);
    assert.deepEqual(
      bad.filter(({ body }) => body.includes('crashes-endpoints')),
      [],
    );
    // Two endpoints are away at a time, and who meets both of them has no third one to be sent to.
    assert.ok(bad.length <= 0.05 * 4 * OTHERS, bad.map(({ body }) => body).join());
  });
});

test('the refusal is true, and tells whoever sends it that coming back does not help', async () => {
  await played(1, async ({ gateways: [under], endpoints }) => {
    await under?.ask('p-1', { path: POISON });
    await wait(PAUSE_MS);
    const got = await under?.ask('p-2', { path: POISON });
    assert.equal(got?.status, 503);
    assert.equal(got?.headers['retry-after'], '300.00');
    const runs = endpoints.flatMap((each) => each.runs).filter((path) => path === POISON);
    assert.equal(runs.length, 2);
  });
});

test('a popular request is not held for one that crashes endpoints when these fall by themselves', async () => {
  await played(2, async ({ gateways, endpoints }) => {
    let asked = 0;
    const refused: string[] = [];
    const untilMs = performance.now() + 4000;
    const ask = async (under: GatewayUnderTest): Promise<void> => {
      while (performance.now() < untilMs) {
        asked += 1;
        const { status, body } = await under.ask(`h-${asked}`, { path: '/x/popular' });
        if (status === 503) refused.push(body);
      }
    };
    const callers = gateways.flatMap((under) => [ask(under), ask(under), ask(under)]);
    for (let i = 0; performance.now() < untilMs; i += 1) {
      await endpoints[i % ENDPOINTS]?.fall();
      await wait(50);
    }
    await Promise.all(callers);
    assert.ok(asked > 200, `${asked} asked`);
    assert.deepEqual(
      refused.filter((body) => body.includes('crashed')),
      [],
    );
  });
});

test('connections that are reset while an endpoint runs on are held against nobody', async () => {
  await played(1, async ({ gateways: [under] }) => {
    const raw = await startRawEndpoint((req) => req.socket.resetAndDestroy());
    try {
      under?.state.offerList([endpoint('e-raw', raw.address)], false);
      for (let i = 0; i < 4; i += 1) await under?.ask(`r-${i}`, { path: '/x/reset' });
      assert.equal(raw.requests.length, 4);
      assert.equal(under?.ctx.crashes.evidence.isEmpty, true);
    } finally {
      raw.close();
    }
  });
});
