/**
 * Guards against requests that are lost as an endpoint ends connections behind its responses: a request that was
 * assigned to such a connection could be sent on it, and a once-only one has no second attempt.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { responseHead, type RawRequest } from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints } from '../harness.js';

const ROUNDS = 5;
const CALLERS = 8;

function respondAndClose(req: RawRequest): void {
  const id = String(req.headers['x-request-id']);
  const head = responseHead(req, '200 OK', [`Content-Length: ${id.length}`, 'Connection: close']);
  req.socket.end(head + id);
}

test('no once-only request is lost when each response ends its connection', async () => {
  const cfg = config([route({ kind: 'once' })]);
  await withRawEndpoints([respondAndClose], cfg, async ({ entry, raws }) => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const ids = Array.from({ length: CALLERS }, (_, i) => `q-${round}-${i}`);
      const responses = await Promise.all(ids.map((id) => entry.send(id, { method: 'POST' })));
      assert.deepEqual(
        responses.map(({ status, body }) => [status, body]),
        ids.map((id) => [200, id]),
      );
    }
    assert.equal(raws[0]?.requests.length, ROUNDS * CALLERS);
  });
});

test('no connection is opened behind a request whose caller left', async () => {
  const cfg = config([route({ kind: 'once', maxAttempts: 1 })]);
  const silent = (): void => undefined;
  await withRawEndpoints([silent], cfg, async ({ entry, raws }) => {
    await entry.send('q-1', { disconnectAfterMs: 100 });
    await wait(200);
    const open = raws[0]?.requests.filter(({ socket }) => !socket.destroyed);
    assert.deepEqual([raws[0]?.connections, open?.length], [1, 0]);
  });
});
