/**
 * Guards against work that is lost because this entry ended it: a stream that may not be resumed was broken off
 * as its endpoint turned slow or silent, as if it could go on elsewhere, and its caller got no response or a
 * part of one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  chunk,
  event,
  okResponse,
  responseHead,
  type RawEndpoint,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import type { PublishedEndpoint, Route } from '../../../src/core/published/index.js';
import type { EngineStatus } from '../../../src/gateway/groups/group-status.js';
import {
  config,
  route,
  TEST_SETTINGS,
  withRawEndpoints,
  type TestResponse,
  type RawEndpointsSetup,
} from '../harness.js';

const EVENTS = 6;
const EVENT_GAP_MS = 30;
/** Longer than the idle timeout of a stream that can go on elsewhere. */
const SILENCE_MS = 1500;
const SLOW_PACE = 3;
/** Connections of one entry to an endpoint of the test service. */
const CONNECTIONS = 8;

const STREAM: Partial<Route> = { kind: 'stream', timeoutMs: 3000, gapMs: 100, maxAttempts: 2 };
const WHOLE = Array.from({ length: EVENTS }, (_, i) => event(i + 1)).join('');

const head = (req: RawRequest): string =>
  responseHead(req, '200 OK', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);

/** Sends the events after the last one that the caller has, `gapMs` apart. */
function sendEvents(req: RawRequest, gapMs: number): void {
  const after = Number(req.headers['last-event-id'] ?? 0);
  req.socket.write(head(req));
  for (let id = after + 1; id <= EVENTS; id += 1)
    setTimeout(
      () => {
        if (!req.socket.destroyed)
          req.socket.write(chunk(event(id)) + (id === EVENTS ? chunk('') : ''));
      },
      gapMs * (id - after),
    );
}

const steady: RawResponder = (req) => sendEvents(req, EVENT_GAP_MS);
const silentFirst: RawResponder = (req) =>
  void setTimeout(() => sendEvents(req, EVENT_GAP_MS), SILENCE_MS);
const silentMidway: RawResponder = (req) => {
  req.socket.write(head(req) + chunk(event(1)));
  const rest = WHOLE.slice(event(1).length);
  setTimeout(() => req.socket.write(chunk(rest) + chunk('')), SILENCE_MS);
};

interface Setup extends RawEndpointsSetup {
  /** Endpoints that are slow from now on. */
  readonly slow: Set<string>;
}

/** Requests that reached the endpoints. */
const arrivals = (raws: readonly RawEndpoint[]): number =>
  raws.reduce((sum, { requests }) => sum + requests.length, 0);

interface PlayOptions {
  readonly responders: readonly RawResponder[];
  readonly change: Partial<Route>;
  readonly areEngines?: boolean;
  readonly retryExtra?: number;
}

async function play(
  { responders, change, areEngines = true, retryExtra = TEST_SETTINGS.retryExtra }: PlayOptions,
  run: (setup: Setup) => Promise<void>,
): Promise<void> {
  const slow = new Set<string>();
  const statusOf = ({ id }: PublishedEndpoint): EngineStatus | undefined =>
    areEngines
      ? { load: 0, pace: slow.has(id) ? SLOW_PACE : 1, meanLoad: 0, countedAtMs: 0 }
      : undefined;
  const settings = { ...TEST_SETTINGS, retryExtra };
  const cfg = config([route(change)]);
  await withRawEndpoints(responders, cfg, (setup) => run({ ...setup, slow }), {
    statusOf,
    settings,
  });
}

const headers = { 'x-deadline-ms': '3000' };

/** Sends a stream, and makes the endpoints that have it slow after the first events. */
async function sendWhileTurningSlow({ entry, raws, slow }: Setup): Promise<TestResponse> {
  const response = entry.send('q-1', { headers });
  setTimeout(() => {
    raws.forEach((raw, i) => raw.requests.length > 0 && slow.add(`e-${i}`));
  }, EVENT_GAP_MS * 2.5);
  return response;
}

test('a stream that may not be resumed stays at an endpoint that turns slow', async () => {
  await play({ responders: [steady, steady], change: STREAM }, async (setup) => {
    const { body, complete } = await sendWhileTurningSlow(setup);
    assert.deepEqual([body, complete, arrivals(setup.raws)], [WHOLE, true, 1]);
  });
});

test('a stream that may be resumed leaves an endpoint that turns slow', async () => {
  const change = { ...STREAM, resumable: true };
  await play({ responders: [steady, steady], change }, async (setup) => {
    const { body, complete } = await sendWhileTurningSlow(setup);
    assert.deepEqual([body, complete, arrivals(setup.raws)], [WHOLE, true, 2]);
  });
});

test('a stream stays at its endpoint while all endpoints are slow', async () => {
  const change = { ...STREAM, resumable: true };
  await play({ responders: [steady, steady], change }, async ({ entry, raws, slow }) => {
    slow.add('e-0').add('e-1');
    const { body, complete } = await entry.send('q-1', { headers });
    assert.deepEqual([body, complete, arrivals(raws)], [WHOLE, true, 1]);
  });
});

test('streams are not broken off beyond the retry budget', async () => {
  const streams = 12;
  const retryExtra = 2 * 48;
  const change = { ...STREAM, resumable: true };
  await play({ responders: [steady, steady], change, retryExtra }, async (setup) => {
    const { entry, raws, slow } = setup;
    const sent = Array.from({ length: streams }, (_, i) => entry.send(`q-${i}`, { headers }));
    setTimeout(() => slow.add('e-0'), EVENT_GAP_MS * 2.5);
    for (const { body, complete } of await Promise.all(sent))
      assert.deepEqual([body, complete], [WHOLE, true]);
    // The extra retries of this entry, and a share of 0.7 * 0.2 of its first attempts.
    assert.ok(arrivals(raws) <= streams + 3, `${arrivals(raws)} arrivals`);
  });
});

for (const [name, respond] of Object.entries({ silentFirst, silentMidway })) {
  test(`a stream that may not be resumed outlasts a silence of its endpoint (${name})`, async () => {
    const responders = [respond, respond];
    await play({ responders, change: STREAM, areEngines: false }, async ({ entry, raws }) => {
      const { status, body, complete } = await entry.send('q-1', { headers });
      assert.deepEqual([status, body, complete], [200, WHOLE, true]);
      assert.equal(arrivals(raws), 1);
    });
  });

  test(`a stream with no other endpoint outlasts a silence (${name})`, async () => {
    const change = { ...STREAM, resumable: true };
    const options = { responders: [respond], change, areEngines: false };
    await play(options, async ({ entry }) => {
      const { status, body, complete } = await entry.send('q-1', { headers });
      assert.deepEqual([status, body, complete], [200, WHOLE, true]);
    });
  });
}

test('a repeatable request waits for its only endpoint until the deadline', async () => {
  const late: RawResponder = (req) =>
    void setTimeout(() => req.socket.write(okResponse(req, 'own')), 500);
  const options = { responders: [late], change: {}, areEngines: false };
  await play(options, async ({ entry, raws }) => {
    const { status, body } = await entry.send('q-1');
    assert.deepEqual([status, body, arrivals(raws)], [200, 'own', 1]);
  });
});

test('an endpoint that never responds ends with 504 at the deadline', async () => {
  const change = { ...STREAM, timeoutMs: 600 };
  const options = { responders: [() => undefined], change, areEngines: false };
  await play(options, async ({ entry }) => {
    const { status, tookMs } = await entry.send('q-1');
    assert.equal(status, 504);
    assert.ok(tookMs < 700, `${tookMs} ms`);
  });
});

test('an attempt that waits for a connection is not sent after its caller got the response', async () => {
  const change = { kind: 'once', maxAttempts: 1, timeoutMs: 300 } as const;
  const responses: (() => void)[] = [];
  const held: RawResponder = (req) =>
    void responses.push(() => req.socket.write(okResponse(req, 'own')));
  const options = { responders: [held], change, areEngines: false };
  await play(options, async ({ entry, raws }) => {
    const sent = Array.from({ length: CONNECTIONS + 2 }, (_, i) => entry.send(`q-${i}`));
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    // Those that were never sent are refused as not run; the others may have run.
    assert.equal(statuses.filter((status) => status === 503).length, 2);
    assert.equal(statuses.filter((status) => status === 504).length, CONNECTIONS);
    for (const respond of responses) respond();
    assert.equal((await entry.send('q-last')).status, 504);
    assert.equal(arrivals(raws), CONNECTIONS + 1);
  });
});

test('a cancelled request that was never sent closes no connection', async () => {
  const change = { kind: 'once', maxAttempts: 1, timeoutMs: 3000 } as const;
  const held: (() => void)[] = [];
  const hold: RawResponder = (req) =>
    void held.push(() => req.socket.write(okResponse(req, 'own')));
  const options = { responders: [hold], change, areEngines: false };
  await play(options, async ({ entry, raws }) => {
    const served = Array.from({ length: CONNECTIONS }, (_, i) => entry.send(`q-${i}`, { headers }));
    while (held.length < CONNECTIONS) await wait(5);
    const leaving = { headers, disconnectAfterMs: 20 };
    await Promise.all(Array.from({ length: 12 }, (_, i) => entry.send(`gone-${i}`, leaving)));
    while (entry.gateway.running() > CONNECTIONS) await wait(5);
    for (const respond of held.splice(0)) respond();
    await Promise.all(served);
    const next = Array.from({ length: CONNECTIONS }, (_, i) =>
      entry.send(`next-${i}`, { headers }),
    );
    while (held.length < CONNECTIONS) await wait(5);
    for (const respond of held.splice(0)) respond();
    await Promise.all(next);
    assert.deepEqual([arrivals(raws), raws[0]?.connections], [2 * CONNECTIONS, CONNECTIONS]);
  });
});
