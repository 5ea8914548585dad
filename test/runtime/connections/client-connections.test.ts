/** Guards against memory that stays counted for a connection that keeps nothing any more. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { closeServer, listenLoopback } from '../../../fakes/http/index.js';
import { createBoundedServer } from '../../../src/runtime/bounded-server.js';
import { testClientLimits } from '../../fixtures/client-limits.js';
import { until } from '../../fixtures/until.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

test('requests that waited for their turn are not counted once they have been answered', async () => {
  const limits = testClientLimits();
  const held: ServerResponse[] = [];
  const server = createBoundedServer({ limits, port: 'operators' }, (_req, res) => held.push(res));
  const port = await listenLoopback(server);
  const client = connect(port, '127.0.0.1');
  client.resume();
  try {
    client.write(REQUEST.repeat(3));
    await until('a request waits', () => held.length === 2 && limits.memory.usedBytes > 0);
    for (let answered = 0; answered < 3; answered += 1) {
      await until('the next request', () => held.length > answered);
      held[answered]?.end('ok');
    }
    await until('nothing is counted', () => limits.memory.usedBytes === 0);
    assert.ok(!client.closed);
  } finally {
    client.destroy();
    closeServer(server);
  }
});
