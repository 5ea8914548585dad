/**
 * Guards against answers that the HTTP server writes by itself, out of turn, when a caller breaks the protocol: a 408 or
 * 431 in the place of the response to a once-only request that ran.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { okResponse, type RawResponder } from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints, type RawEndpointsSetup } from '../harness.js';
import { rawCaller, rawHead, rawRequest, type RawCaller } from '../raw-caller.js';

const WORK_MS = 250;
const HEADER_MS = 60;
const IDLE_MS = 1000;
/** Above WORK_MS by what a busy machine takes, ms. */
const CLOSED_WITHIN_MS = 5000;
const OVER_HEADER_LIMIT = 'x'.repeat(70_000);
const CHUNKED = 'Transfer-Encoding: chunked';
const LIMITS = { headerBytes: 16_384, bodyBytes: 4096, headerMs: HEADER_MS, idleMs: IDLE_MS };

const respondLater: RawResponder = (req) =>
  void setTimeout(() => req.socket.write(okResponse(req, 'own')), WORK_MS);

function withEntry(run: (setup: RawEndpointsSetup) => Promise<void>): Promise<void> {
  const cfg = config([route({ kind: 'once', maxAttempts: 1, timeoutMs: 4000 })], {
    limits: LIMITS,
  });
  return withRawEndpoints([respondLater], cfg, run);
}

const statusesOf = async (caller: RawCaller): Promise<number[]> =>
  (await caller.untilClosed(CLOSED_WITHIN_MS)).map(({ status }) => status);

/** Bytes behind a request in flight, and the statuses that the caller reads. */
const BEHIND: Record<string, { bytes: string; statuses: number[]; code: string }> = {
  'no request': { bytes: 'garbage\r\n\r\n', statuses: [200], code: 'HPE_INVALID_METHOD' },
  'a head without end': {
    bytes: rawHead('q-2'),
    statuses: [200],
    code: 'ERR_HTTP_REQUEST_TIMEOUT',
  },
  'a head over the limit': {
    bytes: `${rawHead('q-2')}X-Long: ${OVER_HEADER_LIMIT}`,
    statuses: [200],
    code: 'HPE_HEADER_OVERFLOW',
  },
  'a malformed chunk': {
    bytes: `${rawHead('q-2', CHUNKED)}\r\nno size\r\n`,
    statuses: [200, 400],
    code: 'HPE_INVALID_CHUNK_SIZE',
  },
  'a chunk extension over the limit': {
    bytes: `${rawHead('q-2', CHUNKED)}\r\n1;${OVER_HEADER_LIMIT}`,
    statuses: [200, 413],
    code: 'HPE_CHUNK_EXTENSIONS_OVERFLOW',
  },
  'trailers over the limit': {
    bytes: `${rawHead('q-2', CHUNKED)}\r\n1\r\nx\r\n0\r\nX-Long: ${OVER_HEADER_LIMIT}`,
    statuses: [200, 431],
    code: 'HPE_HEADER_OVERFLOW',
  },
};

for (const [name, { bytes, statuses, code }] of Object.entries(BEHIND)) {
  test(`a request in flight gets its own response when followed by ${name}`, async () => {
    await withEntry(async ({ entry, raws }) => {
      const caller = rawCaller(entry);
      caller.socket.write(rawRequest('q-1') + bytes);
      assert.deepEqual(await statusesOf(caller), statuses);
      assert.ok(caller.isClosed());
      const [first] = caller.responses();
      assert.deepEqual([first?.headers['x-request-id'], first?.body], ['q-1', 'own']);
      assert.deepEqual(
        raws[0]?.requests.map(({ headers }) => headers['x-request-id']),
        ['q-1'],
      );
      assert.equal(entry.metrics.value('caller_errors_total', { code }), 1);
      const line = entry.logLines.find(({ event }) => event === 'caller.malformed');
      assert.deepEqual(
        [line?.fields['code'], String(line?.fields['requests']).slice(0, 3)],
        [code, 'q-1'],
      );
    });
  });

  test(`a caller that sends only ${name} is told so, once`, async () => {
    await withEntry(async ({ entry }) => {
      const caller = rawCaller(entry);
      caller.socket.write(bytes);
      const read = await statusesOf(caller);
      assert.equal(read.length, 1);
      assert.ok([400, 408, 413, 431].includes(read[0] ?? 0), `${read[0]}`);
      assert.ok(caller.isClosed());
    });
  });
}

test('no second response follows a refusal whose body turns out to be malformed', async () => {
  await withEntry(async ({ entry }) => {
    const caller = rawCaller(entry);
    caller.socket.write(`${rawHead('q-1', CHUNKED).replace('/x/', '/none/')}\r\n`);
    await wait(50);
    caller.socket.write('no size\r\n');
    assert.deepEqual(await statusesOf(caller), [404]);
    assert.ok(caller.isClosed());
  });
});

test('an idle connection is not answered before a request was sent on it', async () => {
  await withEntry(async ({ entry }) => {
    const caller = rawCaller(entry);
    await wait(4 * HEADER_MS);
    caller.socket.write(rawRequest('q-1', '', 'Connection: close'));
    assert.deepEqual(await statusesOf(caller), [200]);
  });
});
