/**
 * Guards against the responses on a connection being shifted or lost when its caller sends the next requests before the
 * response to the one before, whatever ends one of them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  chunk,
  event,
  okResponse,
  responseHead,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints, type RawEndpointsSetup } from '../harness.js';
import { rawCaller, rawHead, rawRequest, type RawResponse } from '../raw-caller.js';

const CLOSED_WITHIN_MS = 5000;
const WORK_MS = 120;
const LARGE_BYTES = 4_000_000;
const PARTS = 8;
/** All parts together take longer than the connection is read after its last response, ms. */
const PART_INTERVAL_MS = 50;
const AHEAD = 40;

/** Responds with the id as the body, the later requests sooner. */
const respondReversed: RawResponder = (req) => {
  const id = req.headers['x-request-id'] ?? '';
  const delayMs = WORK_MS / Number(id.slice(2) || 1);
  setTimeout(() => req.socket.write(okResponse(req, id)), delayMs);
};

function withEntry(
  responder: RawResponder,
  run: (setup: RawEndpointsSetup) => Promise<void>,
): Promise<void> {
  const once = route({ kind: 'once', maxAttempts: 1, timeoutMs: 4000 });
  return withRawEndpoints([responder], config([once]), run);
}

const summary = (responses: readonly RawResponse[]): [number, string][] =>
  responses.map(({ status, body }) => [status, status === 200 ? body : '']);

const idsAt = ({ raws }: RawEndpointsSetup): string[] =>
  (raws[0]?.requests ?? []).map(({ headers }) => headers['x-request-id'] ?? '').sort();

test('responses come in the order of their requests', async () => {
  await withEntry(respondReversed, async ({ entry }) => {
    const caller = rawCaller(entry);
    const ids = ['q-1', 'q-2', 'q-3', 'q-4'];
    caller.socket.write(ids.map((id) => rawRequest(id, 'body')).join(''));
    caller.socket.write(rawRequest('q-5', '', 'Connection: close'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(
      summary(read),
      [...ids, 'q-5'].map((id) => [200, id]),
    );
  });
});

test('the rest of a body that was refused early is not taken for the next request', async () => {
  await withEntry(respondReversed, async (setup) => {
    const caller = rawCaller(setup.entry);
    const inner = rawRequest('q-9');
    const head = rawHead('q-1', `Content-Length: ${inner.length}`).replace('/x/', '/none/');
    caller.socket.write(`${head}\r\n`);
    await wait(30);
    caller.socket.write(inner + rawRequest('q-2', '', 'Connection: close'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(summary(read), [
      [404, ''],
      [200, 'q-2'],
    ]);
    assert.deepEqual(idsAt(setup), ['q-2']);
  });
});

test('a refusal that closes the connection does not cut the requests behind it that run', async () => {
  await withEntry(respondReversed, async (setup) => {
    const caller = rawCaller(setup.entry);
    const large = rawRequest('q-1', 'x'.repeat(5000));
    caller.socket.write(rawRequest('q-3') + rawRequest('q-2') + large);
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(summary(read), [
      [200, 'q-3'],
      [200, 'q-2'],
      [413, ''],
    ]);
    assert.ok(!caller.isReset());
  });
});

test('requests that were sent ahead of a stop are all answered', async () => {
  await withEntry(respondReversed, async (setup) => {
    const caller = rawCaller(setup.entry);
    caller.socket.write(rawRequest('q-1'));
    await wait(30);
    setup.entry.gateway.stop();
    caller.socket.write(rawRequest('q-2') + rawRequest('q-3'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.ok(caller.isClosed());
    assert.deepEqual(
      summary(read),
      idsAt(setup).map((id) => [200, id]),
    );
    assert.deepEqual(idsAt(setup), ['q-1', 'q-2', 'q-3']);
  });
});

test('a request behind a response that was cut is not answered in its place', async () => {
  const cutFirst: RawResponder = (req) => {
    const id = req.headers['x-request-id'] ?? '';
    if (id !== 'q-1') return void req.socket.write(okResponse(req, id));
    req.socket.write(responseHead(req, '200 OK', ['Transfer-Encoding: chunked']));
    req.socket.write(chunk(event(1)));
    setTimeout(() => req.socket.resetAndDestroy(), WORK_MS);
  };
  const cfg = config([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 4000 })]);
  await withRawEndpoints([cutFirst], cfg, async ({ entry }) => {
    const caller = rawCaller(entry);
    caller.socket.write(rawRequest('q-1') + rawRequest('q-2'));
    await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.ok(caller.isClosed());
    assert.doesNotMatch(caller.text(), /q-2/);
    assert.doesNotMatch(caller.text(), /\r\n0\r\n/);
  });
});

test('a request behind one that timed out gets its own response', async () => {
  const silentFirst: RawResponder = (req) => {
    const id = req.headers['x-request-id'] ?? '';
    if (id !== 'q-1') req.socket.write(okResponse(req, id));
  };
  await withEntry(silentFirst, async ({ entry }) => {
    const caller = rawCaller(entry);
    caller.socket.write(rawRequest('q-1', '', 'X-Deadline-Ms: 200'));
    caller.socket.write(rawRequest('q-2', '', 'Connection: close'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(summary(read), [
      [504, ''],
      [200, 'q-2'],
    ]);
  });
});

test('a caller that sends a large legal body reads its early refusal, without a reset', async () => {
  const limits = { headerBytes: 16_384, bodyBytes: LARGE_BYTES, headerMs: 3000, idleMs: 15_000 };
  const cfg = config([route({ kind: 'once', timeoutMs: 4000 })], { limits });
  await withRawEndpoints([respondReversed], cfg, async ({ entry }) => {
    const caller = rawCaller(entry);
    const head = rawHead('q-1', `Content-Length: ${LARGE_BYTES}`, 'Connection: close');
    caller.socket.write(`${head.replace('/x/', '/none/')}\r\n`);
    for (let sent = 0; sent < LARGE_BYTES; sent += LARGE_BYTES / PARTS) {
      caller.socket.write('x'.repeat(LARGE_BYTES / PARTS));
      await wait(PART_INTERVAL_MS);
    }
    assert.deepEqual(summary(await caller.untilClosed(CLOSED_WITHIN_MS)), [[404, '']]);
    assert.ok(caller.isClosed());
    assert.ok(!caller.isReset());
  });
});

test('requests beyond those that run at once get their responses in order', async () => {
  await withEntry(respondReversed, async (setup) => {
    const caller = rawCaller(setup.entry);
    const ids = Array.from({ length: AHEAD }, (_, i) => `q-${i + 1}`);
    caller.socket.write(ids.map((id) => rawRequest(id, 'x'.repeat(1000))).join(''));
    caller.socket.write(rawRequest('q-99', '', 'Connection: close'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(
      summary(read),
      [...ids, 'q-99'].map((id) => [200, id]),
    );
  });
});
