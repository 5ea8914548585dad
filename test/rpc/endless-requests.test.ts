/** Guards against requests of other daemons that are read without a limit of size or time. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createPeers } from '../../src/rpc/peers.js';
import { createRpcServer } from '../../src/rpc/serve.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';
import { testClientLimits } from '../fixtures/client-limits.js';
import { checkEndlessRequests } from '../fixtures/endless-requests.js';

const HELLO = { instance: 'entry-1', incarnation: 'l-1', config: 1, list: 1, leaving: false };
const REQUEST_TIMEOUT_MS = 500;
/** Time by which the connection is closed, ms: the request timeout, a check interval and room. */
const CLOSED_AFTER_MS = 2000;

for (const [pace, line] of [
  ['fast', 'POST /rpc/rank HTTP/1.1'],
  ['byte', 'POST /rpc/rank HTTP/1.1'],
  ['fast', 'GET /rpc/hello HTTP/1.1'],
  ['byte', 'GET /rpc/hello HTTP/1.1'],
] as const) {
  test(`a request without end, ${pace}, is cut off: ${line}`, async () => {
    const server = createRpcServer(
      { hello: () => HELLO, rank: () => Promise.reject(new Error('not reached')) },
      { limits: testClientLimits(), requestTimeoutMs: REQUEST_TIMEOUT_MS },
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    try {
      await checkEndlessRequests(
        (server.address() as AddressInfo).port,
        line,
        pace,
        CLOSED_AFTER_MS,
      );
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
}

test('a call that is held, and an idle connection, outlast the time limit of a request', async () => {
  const server = createRpcServer(
    {
      hello: () => HELLO,
      rank: async () => {
        await wait(CLOSED_AFTER_MS);
        return { incarnation: 'l-1', kind: 'look', isAccepted: true } as never;
      },
    },
    {
      limits: testClientLimits(),
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      keepAliveMs: 10 * CLOSED_AFTER_MS,
    },
  );
  let accepted = 0;
  server.on('connection', () => (accepted += 1)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connections = new ConnectionPools({ keepAliveTimeout: 10 * CLOSED_AFTER_MS });
  const { port } = server.address() as AddressInfo;
  const peer = createPeers(connections).at(`127.0.0.1:${port}`);
  try {
    assert.ok(await peer.rank.mutate({ group: '', kind: 'look', epoch: 0 }));
    await wait(CLOSED_AFTER_MS);
    assert.deepEqual(await peer.hello.query(), HELLO);
    assert.equal(accepted, 1);
  } finally {
    connections.destroy();
    server.close();
    server.closeAllConnections();
  }
});
