/**
 * Guards against bytes that an endpoint sends before it has received a request being taken for the response to the
 * first request on the connection: that its caller is told that it has not run although it runs, or that it runs
 * once more elsewhere.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { okResponse, type RawEndpoint } from '../../../fakes/raw-endpoint/index.js';
import type { Route } from '../../../src/core/published/index.js';
import { config, route, withRawEndpoints, type TestGateway } from '../harness.js';

/** Time in which an endpoint has received what was sent to it, ms. */
const ARRIVAL_MS = 50;
const NOT_RUN = 'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';

const GREETINGS: Record<string, string> = {
  '503 as not run': `HTTP/1.1 503 Full\r\n${NOT_RUN}`,
  '429 as not run': `HTTP/1.1 429 Too Many\r\n${NOT_RUN}`,
  '421': 'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
  '503 behind an interim response': `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Full\r\n${NOT_RUN}`,
  '400 as not run': `HTTP/1.1 400 Bad Request\r\n${NOT_RUN}`,
  '404': 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n',
};

interface Played {
  readonly entry: TestGateway;
  readonly raws: readonly RawEndpoint[];
  /** Ids that ran, in order. */
  readonly ran: readonly string[];
}

/** Runs with two endpoints that greet each connection and run each request. */
async function withGreeting(
  greeting: string,
  change: Partial<Route>,
  run: (played: Played) => Promise<void>,
): Promise<void> {
  const ran: string[] = [];
  const cfg = config([route({ kind: 'once', ...change })]);
  const serve = (raw: { readonly headers: Readonly<Record<string, string>> }): void =>
    void ran.push(raw.headers['x-request-id'] ?? '');
  await withRawEndpoints([serve, serve], cfg, async ({ entry, raws }) => {
    for (const raw of raws) raw.greet = (socket) => void socket.write(greeting);
    await run({ entry, raws, ran });
  });
}

for (const [name, greeting] of Object.entries(GREETINGS)) {
  test(`a request is not refused by what its endpoint said before it came (${name})`, async () => {
    await withGreeting(greeting, { maxAttempts: 1 }, async ({ entry, ran }) => {
      const { status } = await entry.send('q-1');
      await wait(ARRIVAL_MS);
      assert.deepEqual(ran, ['q-1']);
      assert.equal(status, 502);
    });
  });

  test(`a once-only request runs once although its endpoint spoke first (${name})`, async () => {
    await withGreeting(greeting, { maxAttempts: 2 }, async ({ entry, ran }) => {
      await entry.send('q-1');
      await wait(ARRIVAL_MS);
      assert.deepEqual(ran, ['q-1']);
    });
  });
}

test('a connection on which the endpoint spoke first is not used again', async () => {
  const greeting = GREETINGS['503 as not run'] ?? '';
  await withGreeting(greeting, { maxAttempts: 1 }, async ({ entry, raws }) => {
    for (const raw of raws) raw.respond = (req) => void req.socket.write(okResponse(req, 'own'));
    for (let i = 1; i <= 4; i += 1) assert.equal((await entry.send(`q-${i}`)).status, 502);
    const sockets = raws.flatMap(({ requests }) => requests.map(({ socket }) => socket));
    assert.equal(new Set(sockets).size, 4);
  });
});
