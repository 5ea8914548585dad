/** Guards against requests of operators that are read without a limit of size or time. */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { createOperatorServer, type OperatorServerDeps } from '../../src/daemon/operators.js';
import { testClientLimits } from '../fixtures/client-limits.js';
import { checkEndlessRequests } from '../fixtures/endless-requests.js';

const REQUEST_TIMEOUT_MS = 500;
/** Time by which the connection is closed, ms: the request timeout, a check interval and room. */
const CLOSED_AFTER_MS = 2000;

for (const pace of ['fast', 'byte'] as const) {
  test(`a request of an operator without end, ${pace}, is cut off`, async () => {
    // The path needs no other dependencies.
    const deps = { ctx: { clients: testClientLimits() } } as OperatorServerDeps;
    const server = createOperatorServer(deps, REQUEST_TIMEOUT_MS);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    try {
      await checkEndlessRequests(port, 'GET /healthz HTTP/1.1', pace, CLOSED_AFTER_MS);
    } finally {
      server.close();
      server.closeAllConnections();
    }
  });
}
