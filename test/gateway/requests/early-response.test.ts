/**
 * Guards against a response that comes before the whole request was sent: that it is taken for the next request's,
 * that the request runs once more, or that its caller hears that it has not run although it has.
 */
import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { finished } from 'node:stream/promises';
import { test } from 'node:test';
import { closeServer, serveLoopback } from '../../../fakes/http/index.js';
import { config, endpoint, route, startGateway, type TestResponse } from '../harness.js';

/** More than the buffers of a connection hold, bytes. */
const BODY_BYTES = 8 * 1024 * 1024;
const NEXT_REQUESTS = 4;

type Responder = (req: IncomingMessage, res: ServerResponse) => void;

interface Played {
  /** Response to the request with the large body. */
  readonly large: TestResponse;
  /** Responses to requests after it. */
  readonly next: readonly TestResponse[];
  /** Ids of the requests that ran, in order. */
  readonly runs: readonly string[];
}

const idOf = (req: IncomingMessage): string => String(req.headers['x-request-id']);
const headOf = (req: IncomingMessage): Record<string, string> => ({
  'x-request-id': idOf(req),
  'x-server-stamp': 's.1',
});

/** Sends a large request to an entry, and small ones after it; `early` responds to the first that arrives. */
async function play(early: (runs: string[]) => Responder): Promise<Played> {
  const runs: string[] = [];
  const respondEarly = early(runs);
  let arrivals = 0;
  const { server, port } = await serveLoopback(async (req, res) => {
    req.on('error', () => undefined);
    arrivals += 1;
    if (arrivals === 1) return respondEarly(req, res);
    await finished(req.resume());
    runs.push(idOf(req));
    res.writeHead(200, headOf(req)).end(idOf(req));
  });
  const address = `127.0.0.1:${port}`;
  const limits = { headerBytes: 16_384, bodyBytes: BODY_BYTES, headerMs: 3000, idleMs: 15_000 };
  const cfg = config([route({ kind: 'once', timeoutMs: 4000 })], { limits });
  const entry = await startGateway(cfg, [endpoint('e-0', address), endpoint('e-1', address)]);
  const send = (id: string, body: string): Promise<TestResponse> =>
    entry.send(id, { method: 'POST', body, headers: { 'x-deadline-ms': '4000' } });
  try {
    const large = await send('q-0', 'x'.repeat(BODY_BYTES));
    const next: TestResponse[] = [];
    for (let i = 1; i <= NEXT_REQUESTS; i += 1) next.push(await send(`q-${i}`, 'x'));
    return { large, next, runs };
  } finally {
    entry.close();
    closeServer(server);
  }
}

/** The large request ran once, and each request after it has its own response. */
function assertRanOnce({ next, runs }: Played): void {
  assert.equal(runs.filter((id) => id === 'q-0').length, 1);
  assert.deepEqual(
    next.map(({ status, body }) => [status, body]),
    next.map((_, i) => [200, `q-${i + 1}`]),
  );
}

function assertServedOnce(played: Played): void {
  assert.deepEqual([played.large.status, played.large.body], [200, 'q-0']);
  assertRanOnce(played);
}

/** Runs a request and responds before it is in. */
const runEarly =
  (runs: string[]): Responder =>
  (req, res) => {
    runs.push(idOf(req));
    res.writeHead(200, headOf(req)).end(idOf(req));
  };

const rejectEarly: Responder = (req, res) =>
  void res.writeHead(503, { ...headOf(req), 'x-not-executed': '1' }).end();

test('a request that was rejected before it was sent to its end runs once, elsewhere', async () => {
  assertServedOnce(await play(() => rejectEarly));
});

test('a response that came before its request was sent to its end is delivered', async () => {
  assertServedOnce(await play(runEarly));
});

test('a request whose connection was reset behind an early response is never said not to have run', async () => {
  const played = await play((runs) => (req, res) => {
    res.on('finish', () => req.socket.resetAndDestroy());
    runEarly(runs)(req, res);
  });
  assert.ok([200, 502].includes(played.large.status), `${played.large.status}`);
  assertRanOnce(played);
});
