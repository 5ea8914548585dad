/** Guards against calls that outlast their time limit, and responses that are cut off without a trace. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chunk, startRawEndpoint, type RawResponder } from '../../fakes/raw-endpoint/index.js';
import { silentLog } from '../../src/core/logging/index.js';
import { Metrics } from '../../src/core/metrics/index.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { reportCutResponses, ResponseLimitError } from '../../src/runtime/response-limits.js';
import { until } from '../fixtures/until.js';

const LIMITS = { call: 'test', maxBytes: 1000, maxMs: 300 };
/** Time by which a call at its limit, or a connection, has ended, ms. */
const ENDED_AFTER_MS = 700;

interface Fixture {
  readonly metrics: Metrics;
  readonly get: () => Promise<string>;
  readonly openConnections: () => number;
}

async function withEndpoint(
  respond: RawResponder,
  run: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  let open = 0;
  const raw = await startRawEndpoint((req) => {
    open += 1;
    req.socket.once('close', () => (open -= 1));
    respond(req);
  });
  const metrics = new Metrics();
  const connections = new ConnectionPools(
    { connections: 1 },
    reportCutResponses(silentLog, metrics),
  );
  const call = { origin: `http://${raw.address}`, path: '/', method: 'GET' as const };
  const get = async (): Promise<string> =>
    (await connections.call({ ...call, limits: LIMITS })).text;
  try {
    await run({ metrics, get, openConnections: () => open });
  } finally {
    connections.destroy();
    raw.close();
  }
}

const withLength = (body: string): string =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

async function rejectionOf(call: Promise<unknown>): Promise<ResponseLimitError> {
  const err: unknown = await call.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  assert.ok(err instanceof ResponseLimitError, String(err));
  return err;
}

test('a call that waits for a connection ends at its time limit', () =>
  withEndpoint(
    () => undefined,
    async ({ get, metrics }) => {
      const startedAt = performance.now();
      const errors = await Promise.all([rejectionOf(get()), rejectionOf(get())]);
      assert.ok(performance.now() - startedAt < ENDED_AFTER_MS);
      assert.deepEqual(
        errors.map((err) => err.reason),
        ['too-slow', 'too-slow'],
      );
      assert.equal(metrics.value('responses_cut_total', { call: 'test', reason: 'too-slow' }), 2);
    },
  ));

test('a response of the maximum size is read, and one byte more is cut off and counted', async () => {
  const room = LIMITS.maxBytes - withLength('').length - 2;
  let length = room;
  await withEndpoint(
    (req) => req.socket.write(withLength('x'.repeat(length))),
    async ({ get, metrics }) => {
      assert.equal((await get()).length, room);
      assert.equal((await get()).length, room);
      length += 1;
      assert.equal((await rejectionOf(get())).reason, 'oversized');
      assert.equal(metrics.value('responses_cut_total', { call: 'test', reason: 'oversized' }), 1);
    },
  );
});

test('bytes behind a whole response close the connection, and the next call succeeds', () =>
  withEndpoint(
    (req) => req.socket.write(withLength('fine') + withLength('surplus').repeat(1000)),
    async ({ get, openConnections }) => {
      await get().catch(() => undefined);
      await until('closed', () => openConnections() === 0, ENDED_AFTER_MS);
    },
  ));

test('interim responses before a sound response are skipped', () =>
  withEndpoint(
    (req) =>
      req.socket.write(
        'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(3) +
          `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk('fine')}${chunk('')}`,
      ),
    async ({ get }) => assert.equal(await get(), 'fine'),
  ));
