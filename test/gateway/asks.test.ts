/**
 * Story: an endpoint said in its answers what it wanted of an entry, and got its requests all the same. Callers saw 503 after two
 * tries at endpoints that had asked for rest a moment before, while others would have served them; such endpoints, short of what
 * they need, got more to turn away.
 * Cause: whatever an endpoint asks for in its answers was read nowhere. A 503 was one failure among others: the third in a row left
 * the endpoint out for 0.75 to 1.25 s, whatever rest it had asked for, a probe went there at the end of each such pause, and where
 * all endpoints were left out the least bad one got the request all the same.
 * Evidence: on the code before, endpoints that had asked for a rest of 2 s got 26 requests within it, in the first test; in the logs
 * of the failure the third request within the rest was the probe at the end of such a pause. 23 of 60 requests came to an endpoint
 * after it had said that it leaves, and 119 in 4 s to one that took 4 a second, where 29 are allowed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { RateLimiter } from '../../src/core/backpressure/index.js';
import type { EndpointProcess } from '../../src/generated/messages.types.js';
import { takeLeaving } from '../../src/gateway/index.js';
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
/** Connections that one entry opens to an endpoint of the test's service. */
const CONNECTIONS = 8;

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
  const gateways: GatewayUnderTest[] = [];
  const tellLeaving = (process: EndpointProcess): void => {
    for (const { ctx } of gateways) takeLeaving(ctx, { from: 'other', leaving: [process] });
  };
  for (let i = 0; i < size.entries; i += 1)
    gateways.push(await startGateway(config([route()]), listed, { tellLeaving }));
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

test('what waits for a connection to an endpoint that asks for rest is not sent, and refused at once', async () => {
  await played({ endpoints: 1, entries: 1 }, async ({ endpoints: [only], gateways: [under] }) => {
    assert.ok(only && under);
    // The service's connections from one entry are all taken by requests that are answered late; one is turned away before.
    let came = 0;
    only.behaviour = () => {
      came += 1;
      return came === CONNECTIONS ? resting(2) : { headers: [], workMs: 700 };
    };
    const asking = Array.from({ length: CONNECTIONS + 4 }, (_, n) => under.ask(requestId('e', n)));
    const got = await Promise.all(asking);
    assert.equal(only.arrivals.length, CONNECTIONS);
    const refused = got.filter(({ status }) => status === 503);
    assert.equal(refused.length, 5);
    for (const { body, tookMs } of refused) {
      assert.match(body, /"reason":"resting"/);
      assert.ok(tookMs < 300, `refused after ${tookMs} ms`);
    }
  });
});

test('a refusal while all endpoints rest tells when the first of them may be asked', async () => {
  await played({ endpoints: 2, entries: 1 }, async ({ endpoints, gateways: [under] }) => {
    for (const each of endpoints) each.behaviour = () => resting(1.5);
    await under?.ask(requestId('e', 1));
    const got = await under?.ask(requestId('e', 2));
    assert.equal(got?.status, 503);
    assert.ok((got?.tookMs ?? 1000) < 100);
    const afterS = Number(got?.headers['retry-after']);
    assert.ok(afterS >= 1.3 && afterS <= 2.3, `Retry-After ${afterS}`);
    assert.equal(endpoints.flatMap((each) => each.arrivals).length, 2);
  });
});

test('callers are served by an endpoint that does not rest, by their first try', async () => {
  await played({ endpoints: 3, entries: 1 }, async ({ endpoints: [first], load }) => {
    assert.ok(first);
    first.behaviour = () => resting(2);
    const got = await load(2, 60);
    assert.deepEqual(
      got.filter(({ status }) => status !== 200),
      [],
    );
    assert.equal(first.arrivals.length, 1);
  });
});

test('the rest of one process is not that of the next one at its address', async () => {
  await played({ endpoints: 1, entries: 1 }, async ({ endpoints: [only], gateways: [under] }) => {
    assert.ok(only && under);
    only.behaviour = () => resting(60);
    await under.ask(requestId('e', 1));
    only.behaviour = () => ({ headers: [] });
    assert.equal((await under.ask(requestId('e', 2))).status, 503);
    under.state.offerList([{ ...endpoint('e-0', only.address), startedAtMs: 5 }], false);
    assert.equal((await under.ask(requestId('e', 3))).status, 200);
  });
});

test('an endpoint that is missing from the list for a moment rests on', async () => {
  await played({ endpoints: 1, entries: 1 }, async ({ endpoints: [only], gateways: [under] }) => {
    assert.ok(only && under);
    only.behaviour = () => resting(60);
    await under.ask(requestId('e', 1));
    under.state.offerList([], false);
    under.ctx.endpoints.prune();
    under.state.offerList([endpoint('e-0', only.address)], false);
    assert.equal((await under.ask(requestId('e', 2))).status, 503);
    assert.equal(only.arrivals.length, 1);
  });
});

test('an answer of whatever else listens at an address asks for nothing in the name of the endpoint', async () => {
  await played({ endpoints: 1, entries: 1 }, async ({ endpoints: [only], gateways: [under] }) => {
    assert.ok(only && under);
    only.behaviour = () => ({ status: 421, headers: ['Server-Leaving: 1', 'Server-Limit: 0'] });
    await under.ask(requestId('e', 1));
    only.behaviour = () => ({ headers: [] });
    assert.equal((await under.ask(requestId('e', 2))).status, 200);
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

test('entries that it has told nothing hear of it from those that it has told', async () => {
  await played({ endpoints: 2, entries: 3 }, async ({ endpoints: [first], gateways, load }) => {
    assert.ok(first);
    first.behaviour = () => leaving;
    while (first.arrivals.length === 0) await gateways[0]?.ask(requestId('entry0', 0));
    await load(1, 60);
    assert.deepEqual([...new Set(first.arrivals.map(({ entry }) => entry))], ['entry0']);
  });
});

test('a later process of an endpoint that left gets requests, whoever told of the one before', async () => {
  await played({ endpoints: 1, entries: 2 }, async ({ endpoints: [only], gateways }) => {
    assert.ok(only);
    only.behaviour = () => leaving;
    await gateways[0]?.ask(requestId('entry0', 1));
    only.behaviour = () => ({ headers: [] });
    assert.equal((await gateways[1]?.ask(requestId('entry1', 1)))?.status, 503);
    const next = { ...endpoint('e-0', only.address), startedAtMs: 5 };
    for (const { state } of gateways) state.offerList([next], false);
    for (const [i, under] of gateways.entries())
      assert.equal((await under.ask(requestId(`entry${i}`, 2))).status, 200);
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

test('a caller is refused early where relays deny tokens of many endpoints slowly', async () => {
  const listed = Array.from({ length: 12 }, (_, i) => endpoint(`e-${i}`, '127.0.0.1:1'));
  const slow: RateLimiter = {
    nextTokenAtMs: (nowMs) => nowMs,
    acquire: () => wait(40, false),
  };
  const under = await startGateway(config([route()]), listed, { limiterOf: () => slow });
  const { status, body, tookMs } = await under.ask(requestId('entry0', 1));
  under.close();
  assert.equal(status, 503);
  assert.match(body, /"reason":"limited"/);
  assert.ok(tookMs < 300, `refused after ${tookMs} ms`);
});

test('a single probe is sent after a backoff while tokens are asked for', async () => {
  const only = await startAskingEndpoint();
  only.behaviour = () => resting(0.3);
  const slow: RateLimiter = { nextTokenAtMs: (nowMs) => nowMs, acquire: () => wait(40, true) };
  const listed = [endpoint('e-0', only.address)];
  const under = await startGateway(config([route()]), listed, { limiterOf: () => slow });
  try {
    await under.ask(requestId('entry0', 0));
    await wait(500);
    only.behaviour = () => ({ headers: [], workMs: 200 });
    await Promise.all([1, 2, 3, 4, 5].map((n) => under.ask(requestId('entry0', n))));
    assert.equal(only.arrivals.length, 2);
  } finally {
    under.close();
    only.close();
  }
});
