/** Guards against a request being said not to have run because of another one with the same id, at one entry or at two. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  okResponse,
  responseHead,
  type RawRequest,
  type RawResponder,
} from '../../../fakes/raw-endpoint/index.js';
import { config, route, startGateway, withRawEndpoints, type TestGateway } from '../harness.js';

const ROUNDS = 8;
const WORK_MS = 40;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const OUTCOMES: Record<string, (req: RawRequest) => void> = {
  runs: (req) => void setTimeout(() => req.socket.write(okResponse(req, req.body)), WORK_MS),
  breaks: (req) => void req.socket.resetAndDestroy(),
  fails: (req) => void req.socket.write(responseHead(req, '500 Failed', ['Content-Length: 0'])),
  full: (req) =>
    void req.socket.write(
      responseHead(req, '503 Full', ['X-Not-Executed: 1', 'Content-Length: 0']),
    ),
};

/** The body of a request names what endpoints do with it. */
const responder: RawResponder = (req) => OUTCOMES[req.body]?.(req);

async function checkRounds(entries: readonly TestGateway[]): Promise<void> {
  for (let i = 0; i < ROUNDS; i += 1) {
    const sent = Object.keys(OUTCOMES).flatMap((body) =>
      entries.map(async (entry) => {
        const headers = { 'x-token-count': '100,10', 'x-prompt-prefix': 'a1:100' };
        return { body, response: await entry.send('q-1', { body, headers }) };
      }),
    );
    for (const { body, response } of await Promise.all(sent)) {
      const { status } = response;
      assert.equal(NOT_RUN_STATUSES.has(status), body === 'full', `${body}: ${status}`);
      if (body === 'runs') assert.deepEqual([status, response.body], [200, 'runs']);
    }
  }
}

for (const kind of ['once', 'repeatable'] as const)
  test(`requests with one id are told their own outcomes, at one entry and at two (${kind})`, async () => {
    // Behind a 500 the endpoints are ejected in turn; one attempt keeps outcomes and endpoints apart.
    const cfg = config([route({ kind, maxAttempts: 1, timeoutMs: 4000 })]);
    await withRawEndpoints([responder, responder], cfg, async ({ entry, listed }) => {
      await checkRounds([entry]);
      const other = await startGateway(cfg, listed);
      try {
        await checkRounds([entry, other]);
      } finally {
        other.close();
      }
    });
  });
