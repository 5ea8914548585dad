/** Guards against a "not run" that reaches its caller, or the next endpoint, only when its body ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import {
  okResponse,
  responseHead,
  type RawEndpoint,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import type { Route } from '../../../src/core/published/index.js';
import { config, route, withRawEndpoints, type RawEndpointsSetup } from '../harness.js';

const LONG_MS = 30_000;
/** Bound of the time until an event that is due at once, ms; generous for a busy machine. */
const SOON_MS = 10_000;
const LONG_REQUEST = { headers: { 'x-deadline-ms': String(LONG_MS) } };
const FLOOD_PIECE = Buffer.alloc(64 * 1024, 'x');

const turnedAway = (req: RawRequest, ...headers: string[]): string =>
  responseHead(req, '503 Service Unavailable', ['X-Not-Executed: 1', ...headers]);

/** Turns a request away with a body of which only the first byte is sent. */
const unfinished: RawResponder = (req) =>
  void req.socket.write(`${turnedAway(req, 'Content-Length: 100')}x`);

/** Turns a request away with a body without end. */
const flooding: RawResponder = ({ socket, ...req }) => {
  const write = (): void => {
    while (!socket.destroyed && socket.write(FLOOD_PIECE));
  };
  socket.on('drain', write);
  socket.write(turnedAway({ ...req, socket }));
  write();
};

const ok: RawResponder = (req) => void req.socket.write(okResponse(req, 'own'));

async function withEndpoints(
  responders: readonly RawResponder[],
  change: Partial<Route>,
  run: (setup: RawEndpointsSetup) => Promise<void>,
): Promise<void> {
  const routes = [route({ timeoutMs: LONG_MS, targetMs: LONG_MS, ...change })];
  await withRawEndpoints(responders, config(routes), run);
}

async function whenClosed({ requests }: RawEndpoint): Promise<void> {
  const socket = requests[0]?.socket;
  if (!socket || socket.closed) return;
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('the connection is still open')), SOON_MS);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

for (const [name, respond] of Object.entries({ unfinished, flooding })) {
  test(`a caller is refused at the head of a "not run" (${name})`, async () => {
    await withEndpoints([respond], { kind: 'once', maxAttempts: 1 }, async ({ entry, raws }) => {
      const { status, tookMs } = await entry.send('q-1', LONG_REQUEST);
      assert.equal(status, 503);
      assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
      await whenClosed(raws[0] as RawEndpoint);
    });
  });

  test(`a request goes on elsewhere at the head of a "not run" (${name})`, async () => {
    const change = { kind: 'once', maxAttempts: 2 } as const;
    await withEndpoints([respond, ok], change, async ({ entry }) => {
      for (let i = 1; i <= 2; i += 1) {
        const { status, tookMs } = await entry.send(`q-${i}`, LONG_REQUEST);
        assert.equal(status, 200);
        assert.ok(tookMs < SOON_MS, `${tookMs} ms`);
      }
    });
  });
}

test('the connection of a "not run" whose body ends soon is used again', async () => {
  const twoParts: RawResponder = (req) => {
    req.socket.write(`${turnedAway(req, 'Content-Length: 2')}x`);
    setImmediate(() => req.socket.write('y'));
  };
  await withEndpoints([twoParts], { kind: 'once', maxAttempts: 1 }, async ({ entry, raws }) => {
    const requests = 8;
    for (let i = 1; i <= requests; i += 1) {
      assert.equal((await entry.send(`q-${i}`)).status, 503);
      // Until the body has ended, the next request uses another connection.
      await wait(20);
    }
    assert.ok(new Set(raws[0]?.requests.map(({ socket }) => socket)).size < requests);
  });
});

test('a request beside an unfinished "not run" gets its own response', async () => {
  const responses: RawResponder = (req) => {
    if (req.headers['x-request-id'] === 'q-1') return unfinished(req);
    ok(req);
  };
  await withEndpoints([responses], { kind: 'once', maxAttempts: 1 }, async ({ entry }) => {
    assert.equal((await entry.send('q-1', LONG_REQUEST)).status, 503);
    const next = await Promise.all(
      Array.from({ length: 20 }, (_, i) => entry.send(`q-${i + 2}`, LONG_REQUEST)),
    );
    for (const { status, body } of next) assert.deepEqual([status, body], [200, 'own']);
  });
});

test('a late "not run" behind a body that is still being discarded is not believed', async () => {
  const ran: string[] = [];
  const shifted: RawResponder = (req) => {
    if (ran.length === 0) {
      req.socket.write(`${turnedAway(req, 'Content-Length: 2')}x`);
      setImmediate(() => req.socket.write(`y${turnedAway(req, 'Content-Length: 0')}`));
    } else ok(req);
    ran.push(req.headers['x-request-id'] ?? '');
  };
  await withEndpoints([shifted], { kind: 'once', maxAttempts: 1 }, async ({ entry }) => {
    assert.equal((await entry.send('q-1')).status, 503);
    for (let i = 2; i <= 6; i += 1) {
      const { status } = await entry.send(`q-${i}`);
      assert.equal(status === 503 && ran.includes(`q-${i}`), false);
    }
  });
});
