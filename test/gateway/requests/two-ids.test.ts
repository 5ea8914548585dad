/** Guards against a response that names two requests being taken for the response to the first of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RawResponder } from '../../../fakes/raw-endpoint/index.js';
import { config, route, withRawEndpoints } from '../harness.js';

const ONCE = route({ kind: 'once', maxAttempts: 1 });

for (const ids of [
  ['q-1', 'q-0'],
  ['q-0', 'q-1'],
])
  test(`a "not run" with the ids ${ids.join(' and ')} is not believed`, async () => {
    const lines = ids.map((id) => `X-Request-Id: ${id}\r\n`).join('');
    const respond: RawResponder = ({ socket }) =>
      void socket.write(
        `HTTP/1.1 503 Full\r\n${lines}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
    await withRawEndpoints([respond], config([ONCE]), async ({ entry }) => {
      assert.equal((await entry.send('q-1')).status, 502);
    });
  });
