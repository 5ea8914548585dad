/** Guards against a sound endpoint being ejected because it ends its idle connections with a 408. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { okResponse, type RawResponder } from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints } from '../harness.js';

const CONNECTIONS = 8;
const WORK_MS = 60;
const EXPIRED = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

test('an endpoint that ends idle connections with a 408 is not ejected', async () => {
  const respond: RawResponder = (req) =>
    void setTimeout(() => req.socket.write(okResponse(req, 'own')), WORK_MS);
  const once = route({ kind: 'once', maxAttempts: 1, timeoutMs: 4000 });
  await withRawEndpoints([respond], config([once]), async ({ entry, raws }) => {
    const ids = Array.from({ length: CONNECTIONS }, (_, i) => `q-${i}`);
    await Promise.all(ids.map((id) => entry.send(id)));
    await wait(WORK_MS);
    const sockets = new Set(raws[0]?.requests.map(({ socket }) => socket));
    for (const socket of sockets) socket.end(EXPIRED);
    await wait(WORK_MS);
    const ejected = entry.logLines.filter(({ event }) => event === 'endpoint.ejected');
    assert.deepEqual([sockets.size, ejected.length], [CONNECTIONS, 0]);
  });
});
