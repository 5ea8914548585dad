/** Guards against a response with a status that HTTP does not know being believed, or reaching the caller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '../../../src/core/ids/index.js';
import { okResponse, type RawResponder } from '../../../fakes/raw-endpoint/index.js';
import { config, route, SERVICE, withRawEndpoints } from '../harness.js';

const ONCE = route({ kind: 'once', maxAttempts: 1 });
const REPEATABLE = route({ kind: 'repeatable', maxAttempts: 2 });
const STREAM = route({ kind: 'stream', maxAttempts: 1 });

/** Requests until one has gone to the odd endpoint. */
const MAX_REQUESTS = 50;

const statusLines = ['000', '001', '099', '199', '600', '999'].flatMap((status) => [
  `HTTP/1.1 ${status}`,
  `HTTP/1.0 ${status}`,
]);

/** Answers with a status, and with all that an endpoint can ask for. */
const respondWith =
  (statusLine: string): RawResponder =>
  ({ socket, headers }) =>
    void socket.write(
      [
        `${statusLine} Odd`,
        `X-Request-Id: ${headers['x-request-id']}`,
        'X-Server-Stamp: s.1',
        'X-Not-Executed: 1',
        'Retry-After: 30',
        'Server-Limit: 0.1',
        'Content-Length: 3',
        '',
        'odd',
      ].join('\r\n'),
    );

for (const line of statusLines) {
  for (const kind of [ONCE, STREAM])
    test(`a response "${line}" on a route of kind "${kind.kind}" is answered with 502`, async () => {
      await withRawEndpoints([respondWith(line)], config([kind]), async ({ entry }) => {
        assert.equal((await entry.send('q-1')).status, 502);
      });
    });

  test(`a response "${line}" to a repeatable request leads to another attempt`, async () => {
    const sound: RawResponder = (req) => void req.socket.write(okResponse(req, 'fine'));
    const both = [respondWith(line), sound];
    await withRawEndpoints(both, config([REPEATABLE]), async ({ entry, raws }) => {
      for (let i = 0; raws[0]?.requests.length === 0 && i < MAX_REQUESTS; i += 1)
        assert.equal((await entry.send(`q-${i}`)).body, 'fine');
      assert.equal(raws[0]?.requests.length, 1);
    });
  });

  test(`what a response "${line}" asks for is not believed`, async () => {
    let isSound = false;
    const odd = respondWith(line);
    const respond: RawResponder = (req) =>
      isSound ? void req.socket.write(okResponse(req, 'fine')) : odd(req);
    await withRawEndpoints([respond], config([ONCE]), async ({ entry }) => {
      await entry.send('q-1');
      isSound = true;
      assert.equal(entry.ctx.endpoints.firstOpening(asId(SERVICE))?.why, undefined);
      assert.equal((await entry.send('q-2')).status, 200);
    });
  });
}
