/**
 * Guards against reusing unresponsive connections after one of them timed out. All open connections
 * had stopped responding at once; each further call went out on another of them and lost 0.8 to
 * 3.2 s. With a pool that is not replaced, three calls in a row fail here. In logs the failure shows
 * as `published.lost` twice with a response in between (docs/incidents).
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { isTimeout } from '../../src/core/errors/index.js';
import { ConnectionPools } from '../../src/runtime/connection-pools.js';

/** Timeout of a call, ms. */
const CALL_TIMEOUT_MS = 150;
/** Delay of a slow response, ms. */
const SLOW_RESPONSE_MS = 400;

interface Service {
  readonly origin: string;
  /** Connections accepted so far. */
  accepted: number;
  /** Connections closed so far. */
  closed: number;
  /** Stops responding on all connections that are open now. */
  hangAll(): void;
  /** Stops responding on the connection that was opened first. */
  hangFirst(): void;
  close(): void;
}

async function startService(): Promise<Service> {
  const hanging = new WeakSet<object>();
  const open = new Set<object>();
  const server: Server = createServer((req, res) => {
    if (hanging.has(req.socket)) return;
    setTimeout(() => res.end('fine'), req.url === '/slow' ? SLOW_RESPONSE_MS : 20);
  });
  server.on('connection', (socket) => {
    open.add(socket);
    service.accepted += 1;
    socket.on('close', () => (service.closed += 1));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const service: Service = {
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    accepted: 0,
    closed: 0,
    hangAll: () => open.forEach((socket) => hanging.add(socket)),
    hangFirst: () => void hanging.add([...open][0] as object),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return service;
}

/** Limits that no call of this file reaches. */
const LIMITS = { call: 'test', maxBytes: 1_000_000, maxMs: 60_000 };

async function get(
  connections: ConnectionPools,
  origin: string,
  options: { path?: string; signal?: AbortSignal } = {
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  },
): Promise<string> {
  const call = { origin, path: '/', method: 'GET' as const, limits: LIMITS, ...options };
  return (await connections.call(call)).text;
}

/** Runs a test with a service and `count` idle connections to it. */
async function withIdleConnections(
  count: number,
  run: (service: Service, connections: ConnectionPools) => Promise<void>,
): Promise<void> {
  const service = await startService();
  const connections = new ConnectionPools({ connections: 4 });
  try {
    await Promise.all(Array.from({ length: count }, () => get(connections, service.origin)));
    // A connection becomes idle shortly after its response is read.
    await wait(10);
    assert.equal(service.accepted, count);
    await run(service, connections);
  } finally {
    connections.destroy();
    service.close();
  }
}

test('a call that times out retires all open connections to the origin', () =>
  withIdleConnections(3, async (service, connections) => {
    service.hangAll();
    await assert.rejects(get(connections, service.origin), isTimeout);
    const answers = await Promise.all([1, 2].map(() => get(connections, service.origin)));
    assert.deepEqual(answers, ['fine', 'fine']);
  }));

test('calls in flight on other connections complete when one connection times out', () =>
  withIdleConnections(2, async (service, connections) => {
    const { origin } = service;
    service.hangFirst();
    const timedOut = get(connections, origin);
    const slow = get(connections, origin, { path: '/slow' });
    await assert.rejects(timedOut, isTimeout);
    assert.equal(await slow, 'fine');
  }));

test('an aborted call closes only its own connection', () =>
  withIdleConnections(2, async (service, connections) => {
    const { origin } = service;
    const controller = new AbortController();
    const aborted = get(connections, origin, { signal: controller.signal });
    controller.abort();
    await assert.rejects(aborted);
    await get(connections, origin);
    assert.ok(service.closed <= 1, `${service.closed} of 2 closed`);
  }));
