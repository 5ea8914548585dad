/** Guards against requests that run or are lost as the connection of their caller ends. */
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
import { pauseProcess } from '../../fixtures/pause-process.js';
import { config, route, withRawEndpoints } from '../harness.js';
import { rawCaller, rawRequest } from '../raw-caller.js';

const CLOSED_WITHIN_MS = 5000;
const HEADER_MS = 300;

const own: RawResponder = (req) => void req.socket.write(okResponse(req, 'own'));

test('a head that arrived while the entry was frozen is not refused as late', async () => {
  const limits = { headerBytes: 16_384, bodyBytes: 4096, headerMs: HEADER_MS, idleMs: 5000 };
  const cfg = config([route({ kind: 'once', maxAttempts: 1, timeoutMs: 4000 })], { limits });
  await withRawEndpoints([own], cfg, async ({ entry }) => {
    const caller = rawCaller(entry);
    const text = rawRequest('q-1');
    caller.socket.write(text.slice(0, 60));
    await wait(HEADER_MS / 3);
    caller.socket.write(text.slice(60));
    pauseProcess(2 * HEADER_MS);
    while (caller.responses().length === 0 && !caller.isClosed()) await wait(5);
    caller.socket.write(rawRequest('q-2', '', 'Connection: close'));
    const read = await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.deepEqual(
      read.map(({ status }) => status),
      [200, 200],
    );
  });
});

test('a request behind the last response of a connection does not run once that has begun', async () => {
  const respond: RawResponder = (req) => {
    req.socket.write(responseHead(req, '200 OK', ['Transfer-Encoding: chunked']) + chunk(event(1)));
    setTimeout(() => req.socket.write(chunk(event(2)) + chunk('')), 200);
  };
  const cfg = config([route({ kind: 'stream', maxAttempts: 1, timeoutMs: 4000 })]);
  await withRawEndpoints([respond], cfg, async ({ entry, raws }) => {
    const caller = rawCaller(entry);
    entry.gateway.stop();
    caller.socket.write(rawRequest('q-1'));
    while (!caller.text().includes('\r\n\r\n')) await wait(5);
    caller.socket.write(rawRequest('q-2'));
    await caller.untilClosed(CLOSED_WITHIN_MS);
    assert.ok(caller.isClosed());
    assert.match(caller.text(), /\r\n0\r\n\r\n$/);
    assert.deepEqual(
      raws[0]?.requests.map(({ headers }) => headers['x-request-id']),
      ['q-1'],
    );
  });
});
