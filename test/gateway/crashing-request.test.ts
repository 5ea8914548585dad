/**
 * Story: a request crashes each endpoint that begins to run it, and comes again, with the same path, caller and body. Each of its
 * tries crashed as many endpoints as it may be sent to; with the others of a group in lock-step, one such request takes a whole
 * group out of service again and again.
 * Evidence: the first test failed on the code before: eight tries crashed endpoints 16 times.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { config, endpoint, route, startGateway, type GatewayUnderTest } from './harness.js';
import { CrashingEndpoint } from './crashing-endpoint.js';

/** Endpoints of a test, and how often the request comes. */
const ENDPOINTS = 6;
const TRIES = 8;
const POISON = '/x/poison';
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
  const gateways = await Promise.all(
    Array.from({ length: entries }, () => startGateway(config([route()]), listed)),
  );
  try {
    await run({ endpoints, gateways });
  } finally {
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
