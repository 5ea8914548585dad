/**
 * Story: an endpoint said in its answers what it wanted of an entry, and got its requests all the same. Callers saw 503 after two
 * tries at endpoints that had asked for rest a moment before, while others would have served them; such endpoints, short of what
 * they need, got more to turn away. Whatever an endpoint asks for in its answers was read nowhere: rest (503 with a time), that it
 * leaves, a limit.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  allowedInLimitWindow,
  leaving,
  limiting,
  mostWithinLimitWindow,
  mostWithinRest,
  requestId,
  resting,
  startAskingEndpoint,
  type AskingEndpoint,
} from './asking-endpoint.js';
import {
  config,
  endpoint,
  route,
  startGateway,
  type GatewayUnderTest,
  type Got,
} from './harness.js';

/** How often the configuration is proved to be the newest, ms. */
const PROOF_MS = 500;

interface Played {
  readonly endpoints: readonly AskingEndpoint[];
  readonly gateways: readonly GatewayUnderTest[];
  /** Sends requests to all entries in turn, so many a second over all, and waits for their answers. */
  load(seconds: number, perS: number): Promise<Got[]>;
}

async function played(
  size: { readonly endpoints: number; readonly entries: number },
  run: (played: Played) => Promise<void>,
): Promise<void> {
  const endpoints = await Promise.all(
    Array.from({ length: size.endpoints }, () => startAskingEndpoint()),
  );
  const listed = endpoints.map(({ address }, i) => endpoint(`e-${i}`, address));
  const gateways = await Promise.all(
    Array.from({ length: size.entries }, () => startGateway(config([route()]), listed)),
  );
  const proving = setInterval(() => {
    for (const { state, ctx } of gateways) state.proveConfig(ctx.ageClock.nowMs());
  }, PROOF_MS);
  let sent = 0;
  const load = async (seconds: number, perS: number): Promise<Got[]> => {
    const startedAtMs = performance.now();
    const got: Promise<Got>[] = [];
    for (let n = 0; n < seconds * perS; n += 1) {
      const entry = n % gateways.length;
      sent += 1;
      const asking = gateways[entry]?.ask(requestId(`entry${entry}`, sent));
      if (asking) got.push(asking);
      await wait(Math.max(0, startedAtMs + ((n + 1) * 1000) / perS - performance.now()));
    }
    return Promise.all(got);
  };
  try {
    await run({ endpoints, gateways, load });
  } finally {
    clearInterval(proving);
    for (const under of gateways) under.close();
    for (const each of endpoints) each.close();
  }
}

test('endpoints that asked for rest get nothing in that time, where all of them rest as well', async () => {
  await played({ endpoints: 2, entries: 1 }, async ({ endpoints, load }) => {
    for (const each of endpoints) each.behaviour = () => resting(2);
    await load(4, 30);
    for (const each of endpoints) {
      const most = mostWithinRest(each, 2000);
      assert.ok(most <= 2, `${most} within one rest`);
    }
  });
});

test('an endpoint that says in its answers that it leaves gets nothing new, while the list says nothing of it', async () => {
  await played({ endpoints: 2, entries: 1 }, async ({ endpoints, load }) => {
    const [first] = endpoints;
    assert.ok(first);
    first.behaviour = () => leaving;
    await load(1, 60);
    const passedOnMs = first.asked[0]?.atMs ?? 0;
    const late = first.arrivals.filter(({ atMs }) => atMs > passedOnMs + 200);
    assert.equal(late.length, 0, `${late.length} after it had said so`);
  });
});

test('an endpoint that names a limit gets no more from all entries together', async () => {
  const perS = 4;
  await played({ endpoints: 2, entries: 4 }, async ({ endpoints, load }) => {
    for (const each of endpoints) each.behaviour = () => limiting(perS);
    await load(9, 80);
    for (const each of endpoints) {
      const most = mostWithinLimitWindow(each);
      assert.ok(most <= allowedInLimitWindow(perS), `${most} in 4 s`);
    }
  });
});
